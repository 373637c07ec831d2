package membership

// Datagram is one received packet and the gossip address of its sender.
type Datagram struct {
	From    string
	Payload []byte
}

// Transport carries membership packets. Delivery is not guaranteed.
type Transport interface {
	// Send sends a packet to a gossip address without waiting for its delivery. An
	// error means that the packet was not sent.
	Send(address string, payload []byte) error
	// Packets returns the channel of received packets, which may be closed after Close.
	Packets() <-chan Datagram
	// Close stops sending and receiving and releases the transport's resources.
	Close() error
}
