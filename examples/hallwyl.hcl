# Hallwyl Partners Executive Search AG: partners in Zurich and Geneva. Data
# centres zrh-a, zrh-b, wtt-a.
#
# Check it with:    cassialoom check examples/hallwyl.hcl
# Publish it with:  cassialoom publish examples/hallwyl.hcl

# Mandate histories and references.
service "history-svc" {
  operation "mandates" {
    idempotent = true
    importance = "normal"
    deadline   = "800ms"
  }

  operation "references" {
    idempotent = true
    importance = "normal"
    deadline   = "800ms"
  }
}

# Mandates and the compliance checks that hang on them.
service "mandate-svc" {
  operation "compliance" {
    idempotent = true
    importance = "high"
    deadline   = "1s"
    calls      = ["history-svc.mandates"]
  }

  # Logs a signed mandate. Twice bills the client twice: callers send it with
  # a key.
  operation "log" {
    idempotent     = false
    importance     = "critical"
    deadline       = "3s"
    extra_attempts = 3
    calls          = ["history-svc.mandates"]
  }
}

# Candidate dossiers, which people wait for.
service "dossier-svc" {
  operation "read" {
    idempotent = true
    importance = "high"
    deadline   = "1500ms"
    calls      = ["history-svc.references", "mandate-svc.compliance"]
  }

  # The shortlist for a board meeting: only worth something when complete.
  operation "shortlist" {
    idempotent     = true
    importance     = "high"
    deadline       = "4s"
    extra_attempts = 4
    calls = [
      "history-svc.mandates",
      "history-svc.references",
      "mandate-svc.compliance", # which asks history-svc in turn
    ]
  }

  # Browsing without a decision behind it.
  operation "search" {
    idempotent     = true
    importance     = "low"
    deadline       = "2s"
    extra_attempts = 1
    calls          = ["history-svc.references"]
  }
}

# Confidential approach letters to sitting executives.
service "outreach-svc" {
  operation "letters" {
    idempotent = true
    importance = "normal"
    deadline   = "1s"
  }

  # Sends a letter. Twice embarrasses the candidate.
  operation "send" {
    idempotent     = false
    importance     = "high"
    deadline       = "4s"
    extra_attempts = 3
    calls          = ["dossier-svc.read", "mandate-svc.compliance"]
  }
}
