package caller

import (
	"net/http"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/query"
)

// Explanation is the account of an earlier request as operators see it. It has
// neither the request's body nor its hits.
type Explanation struct {
	Answer
	Customer  string    `json:"customer"`
	Plan      string    `json:"plan"`
	Service   string    `json:"service"`
	Operation string    `json:"operation"`
	Key       string    `json:"key,omitempty"`
	Ended     time.Time `json:"ended"`
}

// Explain serves the account of the request that the query parameter id names.
func Explain(find func(id string) (query.Account, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		account, ok := find(r.URL.Query().Get("id"))
		if !ok {
			http.Error(w, "the account is not kept here any more", http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, encodeAccount(account))
	}
}

func encodeAccount(a query.Account) Explanation {
	wire := Explanation{
		Answer: encodeAnswer(a.Answer, true), Customer: a.Query.Customer, Plan: a.Query.Plan,
		Service: a.Query.Service, Operation: string(a.Query.Operation), Key: a.Query.Key, Ended: a.Ended.UTC(),
	}
	if a.Refused != nil {
		wire.Answer = withRefusal(wire.Answer, a.Refused)
	}
	return wire
}

// withRefusal returns the answer with what a refusal states.
func withRefusal(wire Answer, refused *ramp.RefusedError) Answer {
	wire.Ran = string(refused.Ran)
	wire.Reason = string(refused.Reason)
	wire.Detail = refused.Detail
	wire.Complete = false
	if refused.RetryAfter > 0 {
		wire.After = refused.RetryAfter.String()
	}
	return wire
}
