package token

// Encode returns one identifier for each byte of text.
func Encode(text string) []uint32 {
	ids := make([]uint32, len(text))
	for i := range len(text) {
		ids[i] = uint32(text[i])
	}
	return ids
}

// Decode is the inverse of Encode. Identifiers above 255 are not in the vocabulary and are skipped.
func Decode(ids []uint32) string {
	text := make([]byte, 0, len(ids))
	for _, id := range ids {
		if id <= 0xff {
			text = append(text, byte(id))
		}
	}
	return string(text)
}
