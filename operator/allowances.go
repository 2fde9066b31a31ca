package operator

import (
	"encoding/json"
	"net/http"

	ramp "sycamoreramp.example/sycamoreramp"
)

// AllowanceHandler returns a handler that serves the accounts of tenants that the daemon
// keeps as JSON.
func AllowanceHandler(read func() []ramp.AllowanceView) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(read()) // an error means that the operator has disconnected
	}
}
