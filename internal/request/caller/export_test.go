package caller

// DecodeForTest gives tests the decoder of requests.
func DecodeForTest(body []byte, chat bool, limit int) (prompt []uint32, maxTokens int, err error) {
	c, err := decodeCompletion(body, chat, limit)
	return c.prompt, c.maxTokens, err
}
