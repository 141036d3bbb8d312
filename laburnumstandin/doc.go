// Package laburnumstandin holds small stand-ins for what surrounds the system:
// a model engine, a weight store, a plain service and a link between VMs that can
// be cut or frozen. Tests, examples and the load tool use them; the system itself
// does not.
//
// # Usage
//
// A stand-in engine is an http.Handler that announces itself once started:
//
//	engine := laburnumstandin.NewEngine(announcement,
//		laburnumstandin.WithRegistries([]string{"127.0.0.1:7202"}),
//		laburnumstandin.WithWeightStore("127.0.0.1:7300"))
//	go server.Serve(listener) // with engine as its handler
//	engine.Start()
//	defer engine.Close()
//
// The engine counts the memory that it has committed at every instant, a copy
// from the moment its load order is accepted. An order that asks for more than
// an accelerator has is kept as a violation, which Violations and GET /violations
// show, whether or not the engine refuses it.
//
// Generated text is a function of the prompt (see Token), so that a caller can
// check that an answer is whole and its own.
package laburnumstandin
