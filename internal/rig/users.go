package rig

import (
	"fmt"
	"strings"

	"github.com/cassialoom/cassialoom/graph"
)

// Savukartta returns the shape of the wildfire smoke service at its present size.
func Savukartta() Shape {
	return Shape{
		Name:        "savukartta",
		Region:      "fi-east",
		DataCentres: []string{"joensuu-hall", "kuopio-hall", "mikkeli-hall"},
		Services: []ServiceShape{
			{Name: "plumecast", Targets: 5, Slots: 90},
			{Name: "alertdesk", Targets: 4, Slots: 110},
			{Name: "fieldlog", Targets: 3, Slots: 150},
			{Name: "stationlog", Targets: 3, Slots: 20},
		},
	}
}

// Hallwyl returns the shape of the executive search service at its present size.
func Hallwyl() Shape {
	return Shape{
		Name:        "hallwyl",
		Region:      "ch-north",
		DataCentres: []string{"zrh-a", "zrh-b", "wtt-a"},
		Services: []ServiceShape{
			{Name: "dossier-svc", Targets: 5, Slots: 170},
			{Name: "outreach-svc", Targets: 3, Slots: 280},
			{Name: "mandate-svc", Targets: 3, Slots: 280},
			{Name: "history-svc", Targets: 3, Slots: 60},
		},
	}
}

// WithGraph returns the shape with backend servers that make the calls that the graph
// declares. The calls of one operation run in parallel. It returns an error if the graph
// lacks a service of the shape.
func (s Shape) WithGraph(g *graph.Graph) (Shape, error) {
	services := make([]ServiceShape, len(s.Services))
	copy(services, s.Services)
	for i := range services {
		declared, ok := g.Service(services[i].Name)
		if !ok {
			return Shape{}, fmt.Errorf("the graph has no service %s", services[i].Name)
		}
		services[i].Calls = calls(declared)
	}
	s.Services = services
	return s, nil
}

// calls returns the service's dependencies as arguments of a stand-in backend server.
func calls(s *graph.Service) []string {
	var list []string
	for _, operation := range s.Operations {
		if len(operation.Calls) == 0 {
			continue
		}
		names := make([]string, len(operation.Calls))
		for i, ref := range operation.Calls {
			names[i] = ref.String()
		}
		list = append(list, operation.Name+"="+strings.Join(names, "&"))
	}
	return list
}
