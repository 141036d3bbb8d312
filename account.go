package laburnumlever

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// AccountName names a client account, unique in its route table.
type AccountName string

// Account is a client account: who may call, how urgent its requests are and how much it may use. It is
// immutable.
type Account struct {
	Name AccountName `json:"name"`
	// Keys are the hashes of the keys that callers identify themselves with.
	Keys []KeyHash `json:"keys"`
	// Priority ranks accounts before the priority of routes; 0 is the highest priority.
	Priority int   `json:"priority"`
	Quota    Quota `json:"quota,omitzero"`
}

// Quota bounds the usage of an account over all gateways combined. The zero value sets no bound.
type Quota struct {
	// Rate is per second, and Burst is what may be used at once, both in Unit.
	Rate  float64   `json:"rate"`
	Burst float64   `json:"burst"`
	Unit  QuotaUnit `json:"unit"`
	// PlainTokens is the cost of a request that names no number of tokens.
	PlainTokens float64 `json:"plain-tokens,omitempty"`
}

// QuotaTerms are the terms on which a platform checks quotas. In any Window an account may use Overshoot
// times more than its quota, and Slack more, in the quota's unit.
type QuotaTerms struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Limited reports whether the quota sets a bound.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns what a request uses of the quota.
func (q Quota) Cost(r CallerRequest) float64 {
	switch {
	case q.Unit == QuotaRequests:
		return 1
	case r.CountsTokens:
		return float64(r.PromptTokens + r.MaxAnswerTokens)
	default:
		return q.PlainTokens
	}
}

// KeyHash is the keyed hash of a client account's key. Tables that are passed between VMs hold it in place of
// the key.
type KeyHash [sha256.Size]byte

// fingerprintBytes is the length of the part of a hash that is shown to operators.
const fingerprintBytes = 4

// HashKey returns the hash of a key with a table's salt.
func HashKey(salt []byte, key string) KeyHash {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(key))
	var h KeyHash
	mac.Sum(h[:0])
	return h
}

// Fingerprint returns a short form of the hash, which identifies the key within its table.
func (h KeyHash) Fingerprint() string { return hex.EncodeToString(h[:fingerprintBytes]) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An error is an *InvalidValueError.
func (h *KeyHash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return &InvalidValueError{Name: "key hash", Value: "(hidden)", Want: "64 hexadecimal digits"}
	}
	copy(h[:], decoded)
	return nil
}

// WithAccounts returns a copy of the table with client accounts whose keys are hashed with the salt.
func (t RouteTable) WithAccounts(salt []byte, accounts []Account) RouteTable {
	t.KeySalt, t.Accounts = slices.Clone(salt), slices.Clone(accounts)
	return t
}

// WithoutDocument returns a copy of the table without the operators' text, which holds the keys.
func (t RouteTable) WithoutDocument() RouteTable {
	t.Document = nil
	return t
}

// ChecksKeys reports whether callers must identify themselves with a client account's key.
func (t RouteTable) ChecksKeys() bool { return len(t.Accounts) > 0 }

// Account finds a client account by name.
func (t RouteTable) Account(name AccountName) (Account, bool) {
	i := slices.IndexFunc(t.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return Account{}, false
	}
	return t.Accounts[i], true
}
