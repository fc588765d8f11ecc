package examiner

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

const ruleLinearizability = "linearizable_register"

// searchTimeout bounds the search for a linear order of the operations on one
// key.
const searchTimeout = 20 * time.Second

type registerInput struct {
	write bool
	value int64
}

// CheckLinearizability checks that the writes and linearizable reads of each
// key are linearizable. A write reported as not executed is left out. A write
// of unknown outcome may take effect at any time after its start, or never.
func CheckLinearizability(history []Operation) []Violation {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range history {
		if p, ok := registerOperation(op); ok {
			byKey[op.Key] = append(byKey[op.Key], p)
		}
	}
	if len(byKey) == 0 {
		return noCheckedOperations(ruleLinearizability)
	}
	var found []Violation
	for key, ops := range byKey {
		switch porcupine.CheckOperationsTimeout(registerModel(), ops, searchTimeout) {
		case porcupine.Illegal:
			found = append(found, violationf(ruleLinearizability, "key %s: no linear order of %d operations exists", key, len(ops)))
		case porcupine.Unknown:
			found = append(found, violationf(ruleLinearizability, "key %s: the search for a linear order of %d operations timed out", key, len(ops)))
		}
	}
	return found
}

func registerOperation(op Operation) (porcupine.Operation, bool) {
	p := porcupine.Operation{ClientId: op.Caller, Call: int64(op.Start), Return: int64(op.End)}
	switch {
	case op.Kind == Write && op.Outcome == Done:
		p.Input = registerInput{write: true, value: op.Value}
	case op.Kind == Write && op.Outcome == Unknown:
		p.Input = registerInput{write: true, value: op.Value}
		p.Return = math.MaxInt64
	case op.Kind == LinearizableRead && op.Outcome == Done:
		p.Input = registerInput{}
		p.Output = op.Got
	default:
		return p, false
	}
	return p, true
}

func registerModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return int64(0) },
		Step: func(state, input, output any) (bool, any) {
			in := input.(registerInput)
			if in.write {
				return true, in.value
			}
			return output.(int64) == state.(int64), state
		},
	}
}
