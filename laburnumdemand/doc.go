// Package laburnumdemand counts what callers ask of models on one gateway, for the VM that
// places them. It is pure: time is passed in.
//
// The load pattern it answers: demand moves from model to model within seconds, and no gateway
// sees more than a few requests of it. Each tells its rates once a second, the adapters in use
// four times, and how long engines take to read a prompt of each model.
//
// # Usage
//
//	counter, paces, uses := laburnumdemand.NewCounter(vm), laburnumdemand.Paces{}, laburnumdemand.AdapterUses{}
//	counter.Asked(laburnumdemand.Request{Model: "m1", PromptTokens: 700, AnswerTokens: 280})
//	news := laburnumlever.GatewayNews{Demand: counter.Take(now, paces), Adapters: uses.Take(now)}
//
// The owner of each serialises its calls.
package laburnumdemand
