package backend

import (
	"fmt"
	"strings"
	"time"
)

// target is an operation of another service.
type target struct {
	Service   string
	Operation string
}

func (t target) String() string { return t.Service + "." + t.Operation }

// plan lists the calls of one operation. Its steps run in sequence, the targets of a step
// in parallel.
type plan [][]target

func parseCalls(specs []string) (map[string]plan, error) {
	plans := make(map[string]plan, len(specs))
	for _, spec := range specs {
		operation, text, ok := strings.Cut(spec, "=")
		if !ok || operation == "" {
			return nil, fmt.Errorf("value %q: want OPERATION=SERVICE.OP", spec)
		}
		if _, twice := plans[operation]; twice {
			return nil, fmt.Errorf("value %q: operation %s is named twice", spec, operation)
		}
		p, err := parsePlan(text)
		if err != nil {
			return nil, fmt.Errorf("value %q: %w", spec, err)
		}
		plans[operation] = p
	}
	return plans, nil
}

func parsePlan(text string) (plan, error) {
	var p plan
	for _, stepText := range strings.Split(text, ",") {
		var step []target
		for _, name := range strings.Split(stepText, "&") {
			service, operation, ok := strings.Cut(strings.TrimSpace(name), ".")
			if !ok || service == "" || operation == "" {
				return nil, fmt.Errorf("call %q: want SERVICE.OPERATION", name)
			}
			step = append(step, target{Service: service, Operation: operation})
		}
		p = append(p, step)
	}
	return p, nil
}

type distribution string

const (
	constant    distribution = "constant"
	exponential distribution = "exponential"
	lognormal   distribution = "lognormal"
)

// serviceTime is the service time of one operation.
type serviceTime struct {
	Mean         time.Duration
	Distribution distribution
}

func parseTimes(specs []string) (map[string]serviceTime, error) {
	times := make(map[string]serviceTime, len(specs))
	for _, spec := range specs {
		operation, text, ok := strings.Cut(spec, "=")
		if !ok || operation == "" {
			return nil, fmt.Errorf("value %q: want OPERATION=MEAN[,DISTRIBUTION]", spec)
		}
		st, err := parseTime(text)
		if err != nil {
			return nil, fmt.Errorf("value %q: %w", spec, err)
		}
		times[operation] = st
	}
	return times, nil
}

func parseTime(text string) (serviceTime, error) {
	meanText, kind, ok := strings.Cut(text, ",")
	mean, err := time.ParseDuration(meanText)
	if err != nil {
		return serviceTime{}, fmt.Errorf("mean: %w", err)
	}
	if mean < 0 {
		return serviceTime{}, fmt.Errorf("mean %v: want 0 or more", mean)
	}
	st := serviceTime{Mean: mean, Distribution: exponential}
	if !ok {
		return st, nil
	}
	st.Distribution = distribution(kind)
	switch st.Distribution {
	case constant, exponential, lognormal:
		return st, nil
	default:
		return serviceTime{}, fmt.Errorf("distribution %q: want constant, exponential or lognormal", kind)
	}
}
