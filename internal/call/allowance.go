package call

// Allowance is a number of extra attempts, divided into retries and moves. The allowance
// of a root request bounds the extra attempts in its whole tree of nested calls. Retries
// also covers hedges. Moves covers attempts at another instance after an outcome that
// proves that the call was not run.
type Allowance struct {
	Retries, Moves uint16
}

// Half returns half of the allowance, rounded up: the share of one attempt or one nested
// call.
func (a Allowance) Half() Allowance {
	return Allowance{Retries: (a.Retries + 1) / 2, Moves: (a.Moves + 1) / 2}
}

// Minus returns the allowance that is left after spending b, with zero where b exceeds a.
func (a Allowance) Minus(b Allowance) Allowance {
	return Allowance{Retries: a.Retries - min(a.Retries, b.Retries), Moves: a.Moves - min(a.Moves, b.Moves)}
}

// Plus returns the sum of a and b. Retries and moves each saturate at the largest uint16.
func (a Allowance) Plus(b Allowance) Allowance {
	return Allowance{Retries: saturatingAdd(a.Retries, b.Retries), Moves: saturatingAdd(a.Moves, b.Moves)}
}

func saturatingAdd(a, b uint16) uint16 {
	if sum := a + b; sum >= a {
		return sum
	}
	return ^uint16(0)
}
