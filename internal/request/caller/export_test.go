package caller

import "fmt"

// DecodeForTest gives tests the decoder of requests.
func DecodeForTest(body []byte, chat bool, limit int) (prompt []uint32, maxTokens int, err error) {
	c, err := decodeCompletion(body, chat, limit)
	return c.prompt, c.maxTokens, err
}

// RowsForTest gives tests the status of each reason and whether a retry helps.
func RowsForTest() map[string]string {
	list := map[string]string{}
	for reason, r := range rows {
		list[string(reason)] = fmt.Sprint(r.status, map[bool]string{true: " yes", false: " no"}[r.retry])
	}
	return list
}
