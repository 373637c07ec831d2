package call

// Allowance bounds the extra attempts that one root request may cause in its whole tree
// of nested calls. Retries covers retries and hedges. Moves covers attempts at another
// instance after an outcome that proves that the call was not run.
type Allowance struct {
	Retries, Moves uint16
}

// Half returns half of the allowance, rounded up: the share of a nested call.
func (a Allowance) Half() Allowance {
	return Allowance{Retries: (a.Retries + 1) / 2, Moves: (a.Moves + 1) / 2}
}

// Minus returns the allowance that remains after spending b, never below zero.
func (a Allowance) Minus(b Allowance) Allowance {
	return Allowance{Retries: a.Retries - min(a.Retries, b.Retries), Moves: a.Moves - min(a.Moves, b.Moves)}
}

// Plus returns the sum, which saturates at the largest value.
func (a Allowance) Plus(b Allowance) Allowance {
	return Allowance{Retries: saturatingAdd(a.Retries, b.Retries), Moves: saturatingAdd(a.Moves, b.Moves)}
}

func saturatingAdd(a, b uint16) uint16 {
	if sum := a + b; sum >= a {
		return sum
	}
	return ^uint16(0)
}
