package laburnumstream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumstream"
)

func opinion(complete bool, versions ...laburnumlever.SoftwareVersion) laburnumstream.Opinion {
	return laburnumstream.Opinion{Current: true, Complete: complete, Versions: versions}
}

func knowing(software laburnumlever.SoftwareVersion) laburnumstream.Opinion {
	return laburnumstream.Opinion{Known: laburnumstream.Known{Software: software}}
}

// known returns opinions of VMs that know of a number of control VMs.
func known(opinions []laburnumstream.Opinion, controls int) []laburnumstream.Opinion {
	var all []laburnumstream.Opinion
	for _, o := range opinions {
		o.Controls = controls
		all = append(all, o)
	}
	return all
}

func TestResolve(t *testing.T) {
	several := laburnumstream.Opinion{Known: laburnumstream.Known{Several: true}}
	one, two := opinion(true, "v1"), opinion(true, "v1", "v2")
	for name, tt := range map[string]struct {
		own      laburnumstream.Opinion
		others   []laburnumstream.Opinion
		controls int
		want     laburnumlever.SoftwareVersion
		as       laburnumstream.Verdict
	}{
		"own record":                    {own: knowing("v1"), controls: 3, want: "v1"},
		"one record of all":             {own: two, others: []laburnumstream.Opinion{two, knowing("v2")}, controls: 4, want: "v2"},
		"records differ":                {own: two, others: []laburnumstream.Opinion{knowing("v1"), knowing("v2"), two}, controls: 3, as: laburnumstream.Unknowable},
		"ID of two streams":             {own: knowing("v1"), others: []laburnumstream.Opinion{several}, controls: 1, as: laburnumstream.Unknowable},
		"no record, two versions":       {own: two, others: []laburnumstream.Opinion{two, two, two}, controls: 3, as: laburnumstream.Unknowable},
		"no record, some do not answer": {own: two, others: []laburnumstream.Opinion{two, two}, controls: 3, as: laburnumstream.Undecided},
		"one version":                   {own: one, others: []laburnumstream.Opinion{one, one}, controls: 3, want: "v1"},
		"one version, to a minority":    {own: one, others: []laburnumstream.Opinion{one}, controls: 3, as: laburnumstream.Undecided},
		"one version, to half":          {own: one, others: []laburnumstream.Opinion{one, one}, controls: 4, as: laburnumstream.Undecided},
		"one version, others know more": {own: one, others: []laburnumstream.Opinion{one, two}, controls: 2, as: laburnumstream.Unknowable},
		"one version, nobody for long":  {own: opinion(false, "v1"), others: []laburnumstream.Opinion{opinion(false, "v1")}, controls: 1, as: laburnumstream.Unknowable},
		"one version, known here only":  {own: one, others: []laburnumstream.Opinion{opinion(false, "v1")}, controls: 1, want: "v1"},
		"one version, to VMs that just started": {
			own: one, others: []laburnumstream.Opinion{{Versions: []laburnumlever.SoftwareVersion{"v1"}}, {}}, controls: 2, as: laburnumstream.Undecided,
		},
		"a server of unknown version": {own: opinion(true, "", "v1"), others: []laburnumstream.Opinion{one}, controls: 1, as: laburnumstream.Unknowable},
		"no server":                   {own: opinion(true), others: []laburnumstream.Opinion{opinion(true)}, controls: 1, as: laburnumstream.Unknowable},
		"nobody answers":              {own: one, controls: 3, as: laburnumstream.Undecided},
	} {
		t.Run(name, func(t *testing.T) {
			got, verdict := laburnumstream.Resolve(tt.own, known(tt.others, tt.controls))
			require.Equal(t, tt.as, verdict)
			require.Equal(t, tt.want, got)
		})
	}
}
