package laburnumdisk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is magic (4 bytes), length of the payload (4), running number (8), CRC
// of the number and the payload (4), payload; all little-endian.
const (
	frameMagic  = 0x4c4c4631
	lengthAt    = 4
	numberAt    = 8
	sumAt       = 16
	frameHeader = 20
	// maxFrame bounds what a damaged length can make the reader believe.
	maxFrame = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func frameSum(number uint64, payload []byte) uint32 {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], number)
	return crc32.Update(crc32.Checksum(n[:], castagnoli), castagnoli, payload)
}

func encodeFrame(number uint64, payload []byte) []byte {
	frame := make([]byte, frameHeader, frameHeader+len(payload))
	binary.LittleEndian.PutUint32(frame, frameMagic)
	binary.LittleEndian.PutUint32(frame[lengthAt:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(frame[numberAt:], number)
	binary.LittleEndian.PutUint32(frame[sumAt:], frameSum(number, payload))
	return append(frame, payload...)
}

// decodeFrame reads the frame at the start of data; false if it is not whole.
func decodeFrame(data []byte) (number uint64, payload []byte, ok bool) {
	if len(data) < frameHeader || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data[lengthAt:]))
	if length > maxFrame || len(data)-frameHeader < length {
		return 0, nil, false
	}
	number = binary.LittleEndian.Uint64(data[numberAt:])
	payload = data[frameHeader : frameHeader+length]
	if frameSum(number, payload) != binary.LittleEndian.Uint32(data[sumAt:]) {
		return 0, nil, false
	}
	return number, payload, true
}

// wholeFrameIn tells whether a whole frame starts anywhere in data.
func wholeFrameIn(data []byte) bool {
	var magic [lengthAt]byte
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
