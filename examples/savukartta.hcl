# Savukartta Osuuskunta: wildfire smoke maps for Finnish municipalities, farms
# and health districts. Data centres joensuu-hall, kuopio-hall, mikkeli-hall.
#
# Check it with:    cassialoom check examples/savukartta.hcl
# Publish it with:  cassialoom publish examples/savukartta.hcl

# Readings of the measuring stations. The smallest service (20 slots at each
# backend server) and the one that most others wait for.
service "stationlog" {
  operation "history" {
    idempotent = true
    importance = "normal"
    deadline   = "600ms"
  }

  # The newest reading of each station near a place.
  operation "latest" {
    idempotent = true
    importance = "high"
    deadline   = "300ms"
  }
}

# What members see in the field.
service "fieldlog" {
  # Reads of the observations around a place; checked against the stations.
  operation "observations" {
    idempotent = true
    importance = "normal"
    deadline   = "500ms"
    calls      = ["stationlog.latest"]
  }

  # Files an observation. A doubled filing corrupts the shared record, a lost
  # one leaves a village unmapped: callers send it with a key.
  operation "file" {
    idempotent     = false
    importance     = "high"
    deadline       = "2s"
    extra_attempts = 3
    calls          = ["stationlog.latest"]
  }
}

# Plume forecasts. A late one sends a rescue crew through smoke.
service "plumecast" {
  operation "forecast" {
    idempotent     = true
    importance     = "critical"
    deadline       = "800ms"
    extra_attempts = 2
    calls = [
      "stationlog.history",
      "fieldlog.observations", # which asks stationlog in turn
    ]
  }

  # The map of the whole country for school administrators; it can wait.
  operation "overview" {
    idempotent     = true
    importance     = "low"
    deadline       = "3s"
    extra_attempts = 1
    calls          = ["stationlog.history", "fieldlog.observations"]
  }
}

# Air-quality notices to residents.
service "alertdesk" {
  operation "notices" {
    idempotent = true
    importance = "normal"
    deadline   = "500ms"
  }

  # Issues a notice. A doubled one alarms residents twice.
  operation "issue" {
    idempotent     = false
    importance     = "critical"
    deadline       = "3s"
    extra_attempts = 3
    calls          = ["plumecast.forecast", "stationlog.latest"]
  }
}
