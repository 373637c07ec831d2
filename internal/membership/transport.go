package membership

// Datagram is one received packet.
type Datagram struct {
	From    string
	Payload []byte
}

// Transport carries membership packets. Delivery is not guaranteed.
type Transport interface {
	// Send hands a packet over without waiting for its delivery.
	Send(address string, payload []byte) error
	// Packets delivers what arrives. It is closed after Close.
	Packets() <-chan Datagram
	Close() error
}
