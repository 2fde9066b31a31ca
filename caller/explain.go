package caller

import (
	"net/http"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/query"
)

// Explanation is the record of an earlier request and its attempts, for operators.
// It contains neither the request's body nor its hits.
type Explanation struct {
	Answer
	Customer  string    `json:"customer"`
	Plan      string    `json:"plan"`
	Service   string    `json:"service"`
	Operation string    `json:"operation"`
	Key       string    `json:"key,omitempty"`
	Ended     time.Time `json:"ended"`
}

// ExplainHandler returns a handler that serves the record of the request whose id is in
// the query parameter "id". It answers with HTTP status 404 if find has none.
func ExplainHandler(find func(id string) (query.Trace, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		record, ok := find(r.URL.Query().Get("id"))
		if !ok {
			http.Error(w, "the account is not kept here any more", http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, encodeExplanation(record))
	}
}

// encodeExplanation returns the JSON form of a request's record.
func encodeExplanation(r query.Trace) Explanation {
	wire := Explanation{
		Answer: encodeAnswer(r.Answer, true), Customer: r.Query.Customer, Plan: r.Query.Plan,
		Service: r.Query.Service, Operation: string(r.Query.Operation), Key: r.Query.Key, Ended: r.Ended.UTC(),
	}
	if r.Refused != nil {
		wire.Answer = withRefusal(wire.Answer, r.Refused)
	}
	return wire
}

// withRefusal returns the answer with the fields of the refusal set.
func withRefusal(wire Answer, refused *ramp.RefusedError) Answer {
	wire.Ran = string(refused.Ran)
	wire.Reason = string(refused.Reason)
	wire.Detail = refused.Detail
	wire.Complete = false
	if refused.RetryAfter > 0 {
		wire.RetryAfter = refused.RetryAfter.String()
	}
	return wire
}
