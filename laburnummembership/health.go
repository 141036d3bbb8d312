package laburnummembership

//go:generate go tool -modfile=../tools/go.mod enumer -type=health -transform=kebab -trimprefix=health -linecomment -text -json -output=enums_gen.go

// health is a backend server's state as judged by the arrival of its announcements. At an equal
// state version the higher value wins.
type health int

const (
	healthReachable health = iota // heard
	healthSuspected               // doubted
	healthDown                    // down
)
