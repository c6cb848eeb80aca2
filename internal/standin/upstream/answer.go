package upstream

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/internal/ids"
)

// AnswerHeaderSize is the size of the part of an answer that names its request, in
// bytes: account (4), service (4), nonce (8), request id (8), hash of the body (8).
const AnswerHeaderSize = 32

// MakeAnswer returns the answer to a request: a head that names the request
// and its body, then filler up to size bytes.
func MakeAnswer(key Key, body []byte, size int) []byte {
	a := make([]byte, max(size, AnswerHeaderSize))
	binary.BigEndian.PutUint32(a[0:], uint32(key.Account))
	binary.BigEndian.PutUint32(a[4:], uint32(key.Service))
	binary.BigEndian.PutUint64(a[8:], uint64(key.Nonce))
	binary.BigEndian.PutUint64(a[16:], uint64(key.Request))
	binary.BigEndian.PutUint64(a[24:], xxhash.Sum64(body))
	for i := AnswerHeaderSize; i < len(a); i++ {
		a[i] = byte(i * 31)
	}
	return a
}

// IsAnswer reports whether a is the whole answer to the request.
func IsAnswer(a []byte, key Key, body []byte) bool {
	return bytes.Equal(a, MakeAnswer(key, body, len(a)))
}

// AnswersBody reports whether a is the whole answer of the service to a request
// with this body, whichever id the request had.
func AnswersBody(a []byte, account ids.AccountID, service ids.ServiceID, body []byte) bool {
	if len(a) < AnswerHeaderSize {
		return false
	}
	key := Key{
		Account: account,
		Service: service,
		Nonce:   ids.Nonce(binary.BigEndian.Uint64(a[8:])),
		Request: ids.RequestID(binary.BigEndian.Uint64(a[16:])),
	}
	return IsAnswer(a, key, body)
}
