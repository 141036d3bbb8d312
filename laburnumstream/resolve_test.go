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

func TestResolve(t *testing.T) {
	several := laburnumstream.Opinion{Known: laburnumstream.Known{Several: true}}
	one, two := opinion(true, "v1"), opinion(true, "v1", "v2")
	for name, tt := range map[string]struct {
		own    laburnumstream.Opinion
		others []laburnumstream.Opinion
		asked  int
		want   laburnumlever.SoftwareVersion
		as     laburnumstream.Verdict
	}{
		"own record":                    {own: knowing("v1"), asked: 3, want: "v1"},
		"one record of all":             {own: two, others: []laburnumstream.Opinion{two, knowing("v2")}, asked: 4, want: "v2"},
		"records differ":                {own: two, others: []laburnumstream.Opinion{knowing("v1"), knowing("v2"), two}, asked: 3, as: laburnumstream.Unknowable},
		"ID of two streams":             {own: knowing("v1"), others: []laburnumstream.Opinion{several}, asked: 1, as: laburnumstream.Unknowable},
		"no record, two versions":       {own: two, others: []laburnumstream.Opinion{two, two, two}, asked: 3, as: laburnumstream.Unknowable},
		"no record, some do not answer": {own: two, others: []laburnumstream.Opinion{two, two}, asked: 3, as: laburnumstream.Undecided},
		"one version":                   {own: one, others: []laburnumstream.Opinion{one, one}, asked: 3, want: "v1"},
		"one version, to a minority":    {own: one, others: []laburnumstream.Opinion{one}, asked: 3, as: laburnumstream.Undecided},
		"one version, to half":          {own: one, others: []laburnumstream.Opinion{one, one}, asked: 4, as: laburnumstream.Undecided},
		"one version, others know more": {own: one, others: []laburnumstream.Opinion{one, two}, asked: 2, as: laburnumstream.Unknowable},
		"one version, nobody for long":  {own: opinion(false, "v1"), others: []laburnumstream.Opinion{opinion(false, "v1")}, asked: 1, as: laburnumstream.Unknowable},
		"one version, known here only":  {own: one, others: []laburnumstream.Opinion{opinion(false, "v1")}, asked: 1, want: "v1"},
		"one version, to VMs that just started": {
			own: one, others: []laburnumstream.Opinion{{Versions: []laburnumlever.SoftwareVersion{"v1"}}, {}}, asked: 2, as: laburnumstream.Undecided,
		},
		"a server of unknown version": {own: opinion(true, "", "v1"), others: []laburnumstream.Opinion{one}, asked: 1, as: laburnumstream.Unknowable},
		"no server":                   {own: opinion(true), others: []laburnumstream.Opinion{opinion(true)}, asked: 1, as: laburnumstream.Unknowable},
		"nobody answers":              {own: one, asked: 3, as: laburnumstream.Undecided},
	} {
		t.Run(name, func(t *testing.T) {
			got, verdict := laburnumstream.Resolve(tt.own, tt.others, tt.asked)
			require.Equal(t, tt.as, verdict)
			require.Equal(t, tt.want, got)
		})
	}
}
