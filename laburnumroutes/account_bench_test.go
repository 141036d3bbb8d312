package laburnumroutes_test

import (
	"fmt"
	"testing"

	"laburnumlever"
	"laburnumlever/laburnumroutes"
)

// BenchmarkAccount measures the look-up of a key, whose time must not grow with the number of client accounts.
func BenchmarkAccount(b *testing.B) {
	for _, accounts := range []int{16, 4096} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			salt := []byte("0123456789abcdef")
			list := make([]laburnumlever.Account, accounts)
			for i := range list {
				list[i] = laburnumlever.Account{Name: laburnumlever.AccountName(fmt.Sprint(i)), Keys: []laburnumlever.KeyHash{laburnumlever.HashKey(salt, fmt.Sprint(i))}}
			}
			x := laburnumroutes.NewIndex(laburnumlever.RouteTable{}.WithAccounts(salt, list))
			for b.Loop() {
				x.Account("asnmgkcuyj8pjbvk9m68")
			}
		})
	}
}
