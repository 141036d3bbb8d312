// Package laburnumstandin holds fakes of what surrounds the system: a model engine,
// a weight store, a plain service, the users' platform and a TCP link between VMs
// that can be cut, frozen or delayed. Tests, examples and the load tool use them;
// production code does not.
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
// The engine tracks committed memory; a copy's memory is committed when its load
// order is accepted. An order that exceeds an accelerator's memory is recorded as a
// violation, whether or not the engine refuses it. Violations and GET /violations
// return the list.
//
// Generated text is a function of the prompt (see Token), so that a caller can
// check that an answer is complete and belongs to its own request.
package laburnumstandin
