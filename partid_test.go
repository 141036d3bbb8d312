package laburnumlever_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

func TestPartIDIsWrittenAsCallersNameIt(t *testing.T) {
	text, err := laburnumlever.PartID(0x5c1e07a2).MarshalText()
	require.NoError(t, err)
	require.Equal(t, "5c1e07a2", string(text))
	var id laburnumlever.PartID
	require.NoError(t, id.UnmarshalText(text))
	require.Equal(t, laburnumlever.PartID(0x5c1e07a2), id)
	var invalid *laburnumlever.InvalidValueError
	require.ErrorAs(t, id.UnmarshalText([]byte("oak")), &invalid)
}

// Guards against taking the last part of a prompt, which belongs to one request or session, for a shared one.
func TestLastPartIsNotShared(t *testing.T) {
	prompt := []laburnumlever.PromptPart{{ID: 1, Tokens: 800}, {ID: 2, Tokens: 410}, {ID: 3, Tokens: 250}}
	require.Equal(t, []laburnumlever.PartID{1, 2}, laburnumlever.CallerRequest{Prompt: prompt}.SharedParts())
	require.Empty(t, laburnumlever.CallerRequest{Prompt: prompt[:1]}.SharedParts())
	require.Empty(t, laburnumlever.CallerRequest{}.SharedParts())
}
