// Package injector brings about the faults of the brief at chosen steps of a
// request, a promotion or a manifest change.
//
// A [Fault] is injected into a [Scene] and healed again. A [Step] brings a
// probing caller, a promotion or a manifest change to a certain point and then
// calls the injection.
package injector
