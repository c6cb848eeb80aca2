package capacity

import (
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/wire"
)

// putOpenFields writes the unsealed flow fields of an open packet.
func putOpenFields(p wire.Packet, account ids.AccountID, service ids.ServiceID, nonce ids.Nonce) {
	flowid.PutUnsealed(p.Flow(), &flowid.Flow{Account: account, Service: service, Nonce: nonce})
}
