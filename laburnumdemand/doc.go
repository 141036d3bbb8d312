// Package laburnumdemand measures the demand for models and adapters on one gateway, for the
// placement leader. It does no I/O and reads no clock: the time is passed in.
//
// Load pattern: demand shifts from model to model within seconds, and each gateway sees only a few
// of the requests. Each gateway reports its request rates and the read time of each model once a
// second, and the adapters in use four times a second.
//
// # Usage
//
//	counter, times, uses := laburnumdemand.NewCounter(vm), laburnumdemand.ReadTimes{}, laburnumdemand.AdapterUses{}
//	counter.Received(laburnumdemand.Request{Model: "m1", PromptTokens: 700, AnswerTokens: 280})
//	report := laburnumlever.GatewayReport{Demand: counter.Take(now, times), Adapters: uses.Take(now)}
//
// None of the types is safe for concurrent use.
package laburnumdemand
