package laburnumload

import (
	"context"
	"encoding/json"
	"net/http"

	"laburnumlever"
	"laburnumlever/laburnumoperator"
	"laburnumlever/laburnumstandin"
)

// ReadLedgers reads the ledgers of all stand-in plain services that a VM knows; vm is
// its operators address. Errors: *LedgerError, or those of the status request.
func ReadLedgers(ctx context.Context, vm string) ([][]laburnumstandin.LedgerEntry, error) {
	status, err := laburnumoperator.NewClient(vm).Status(ctx)
	if err != nil {
		return nil, err
	}
	return ledgersOf(ctx, status.View.Backends)
}

// ledgersOf reads the plain services' ledgers. An unreadable ledger is an error, since
// it could hide runs. Plain services that are down are skipped, so that an experiment
// that kills one still gets its report.
func ledgersOf(ctx context.Context, backends []laburnumlever.Backend) ([][]laburnumstandin.LedgerEntry, error) {
	var ledgers [][]laburnumstandin.LedgerEntry
	for _, b := range backends {
		if b.Announcement.Kind != laburnumlever.PlainService || b.Down {
			continue
		}
		ledger, err := readLedger(ctx, b.Announcement.Address)
		if err != nil {
			return nil, err
		}
		ledgers = append(ledgers, ledger)
	}
	return ledgers, nil
}

func readLedger(ctx context.Context, address string) ([]laburnumstandin.LedgerEntry, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ledger", http.NoBody)
	if err != nil {
		return nil, &LedgerError{Address: address, Cause: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &LedgerError{Address: address, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var ledger []laburnumstandin.LedgerEntry
	if err := json.NewDecoder(resp.Body).Decode(&ledger); err != nil {
		return nil, &LedgerError{Address: address, Cause: err}
	}
	return ledger, nil
}
