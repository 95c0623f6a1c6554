package caller

import "fmt"

// DecodeForTest calls decodeCompletion and returns the prompt and the token limit of the decoded request.
func DecodeForTest(body []byte, chat bool, limit int) (prompt []uint32, maxTokens int, err error) {
	c, err := decodeCompletion(body, chat, limit)
	return c.prompt, c.maxTokens, err
}

// ReasonsForTest returns, for each reason, its HTTP status followed by yes if a retry may succeed, or else no.
func ReasonsForTest() map[string]string {
	list := map[string]string{}
	for reason, r := range reasonTable {
		list[string(reason)] = fmt.Sprint(r.status, map[bool]string{true: " yes", false: " no"}[r.retryable])
	}
	return list
}
