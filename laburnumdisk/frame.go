package laburnumdisk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is magic (4 bytes), length of the payload (4), running number (8), CRC
// of the number and the payload (4), payload; all little-endian.
const (
	frameMagic      = 0x4c4c4631
	lengthOffset    = 4
	numberOffset    = 8
	checksumOffset  = 16
	frameHeaderSize = 20
	// maxPayload bounds what a damaged length can make the reader believe.
	maxPayload = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func frameChecksum(number uint64, payload []byte) uint32 {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], number)
	return crc32.Update(crc32.Checksum(n[:], castagnoli), castagnoli, payload)
}

func encodeFrame(number uint64, payload []byte) []byte {
	frame := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(frame, frameMagic)
	binary.LittleEndian.PutUint32(frame[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(frame[numberOffset:], number)
	binary.LittleEndian.PutUint32(frame[checksumOffset:], frameChecksum(number, payload))
	return append(frame, payload...)
}

// decodeFrame reads the frame at the start of data; false if it is not whole.
func decodeFrame(data []byte) (number uint64, payload []byte, ok bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data[lengthOffset:]))
	if length > maxPayload || len(data)-frameHeaderSize < length {
		return 0, nil, false
	}
	number = binary.LittleEndian.Uint64(data[numberOffset:])
	payload = data[frameHeaderSize : frameHeaderSize+length]
	if frameChecksum(number, payload) != binary.LittleEndian.Uint32(data[checksumOffset:]) {
		return 0, nil, false
	}
	return number, payload, true
}

// containsFrame tells whether a whole frame starts anywhere in data.
func containsFrame(data []byte) bool {
	var magic [lengthOffset]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for {
		i := bytes.Index(data, magic[:])
		if i < 0 {
			return false
		}
		if _, _, ok := decodeFrame(data[i:]); ok {
			return true
		}
		data = data[i+1:]
	}
}
