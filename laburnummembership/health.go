package laburnummembership

//go:generate go tool -modfile=../tools/go.mod enumer -type=health -transform=kebab -trimprefix=health -text -json -output=enums_gen.go

// health is what is held of a backend server's announcements. The higher value
// wins at an equal beat.
type health int

const (
	healthHeard health = iota
	healthDoubted
	healthDown
)
