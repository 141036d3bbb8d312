package laburnumdisk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is a magic number (4 bytes), the length of the payload (4), the frame's sequence
// number (8), the CRC-32C of the sequence number and the payload (4), and the payload.
// Integers are little-endian.
const (
	frameMagic      = 0x4c4c4631
	lengthOffset    = 4
	numberOffset    = 8
	checksumOffset  = 16
	frameHeaderSize = 20
	// maxPayload bounds the payload's length in bytes, so that a damaged length is detected.
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

// decodeFrame decodes the frame at the start of data. ok is false if the frame is not valid.
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

// containsFrame reports whether a valid frame starts anywhere in data.
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
