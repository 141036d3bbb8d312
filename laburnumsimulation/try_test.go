package laburnumsimulation

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestTry(t *testing.T) {
	file := os.Getenv("SCENARIO")
	if file == "" {
		t.Skip()
	}
	s, err := Load(file)
	if err != nil {
		t.Fatal(err)
	}
	DEBUG = true
	for _, p := range Policies() {
		began := time.Now()
		o := Run(s, p, 1)
		fmt.Printf("%s %.3f day %.3f windows %.3f class %.3f zone %.3f asked %d ontime %d late %d (first %d pause %d) refused %d failed %d %v loads %d store %d orders %d preempted %d retries %d over %d laterefusals %.3f  took %v\n  %.2f\n", p.Name, o.Value, o.Day, o.WorstWindows, o.WorstClass, o.WorstZone, o.Asked, o.OnTime, o.Late, o.LateFirst, o.LatePause, o.Refused, o.Failed, o.Reasons, o.Loads, o.StoreLoads, o.Orders, o.Preempted, o.Retries, o.Overcommitted, o.LateRefusals, time.Since(began), o.Windows)
		if os.Getenv("ONE") != "" {
			break
		}
	}
}
