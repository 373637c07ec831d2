package platform

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Defaults of a Client.
const (
	DefaultTimeout     = time.Second
	DefaultPollTimeout = 20 * time.Second
	// DefaultMaxResponseBytes bounds a response body. A single value needs up to 4/3 MB
	// in base64; a listing of the settings tree of the scale target is under 8 MB.
	DefaultMaxResponseBytes = 16 << 20
)

// ClientConfig configures a Client. Zero values mean the defaults.
type ClientConfig struct {
	// URL is the root of the API, without /v1.
	URL string
	// Timeout bounds one call. A watch may take PollTimeout in addition.
	Timeout time.Duration
	// PollTimeout is how long the server is asked to hold a watch.
	PollTimeout time.Duration
	// MaxResponseBytes is the size of the largest response body that is accepted.
	MaxResponseBytes int64
	// Transport sends the requests; nil means a new one, whose connections no other
	// client uses.
	Transport http.RoundTripper
}

// Client is a Store over HTTP. It does not retry calls.
type Client struct {
	config ClientConfig
	http   *http.Client
	sling  *sling.Sling
}

var _ Store = (*Client)(nil)

// NewClient returns a client; it makes no call.
func NewClient(c ClientConfig) *Client {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.PollTimeout == 0 {
		c.PollTimeout = DefaultPollTimeout
	}
	if c.MaxResponseBytes == 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if c.Transport == nil {
		c.Transport = newTransport(c.Timeout)
	}
	return &Client{
		config: c,
		// A redirect could lead to a host that is not configured, so none is followed.
		http: &http.Client{Transport: c.Transport, CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		}},
		sling: sling.New().Base(strings.TrimSuffix(c.URL, "/") + "/v1/"),
	}
}

type listQuery struct {
	Prefix string `url:"prefix"`
}

type conditionQuery struct {
	IfVersion int64 `url:"if_version"`
}

type watchQuery struct {
	Prefix string `url:"prefix"`
	After  int64  `url:"after"`
	WaitMs int64  `url:"wait_ms"`
}

type updateBody struct {
	Value []byte `json:"value"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	path, err := objectPath(key)
	if err != nil {
		return Object{}, err
	}
	var o Object
	if err := c.do(ctx, c.config.Timeout, c.sling.New().Get(path), &o); err != nil {
		return Object{}, err
	}
	return o, checkObject(o, key)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var l Listing
	request := c.sling.New().Get("objects").QueryStruct(listQuery{prefix})
	if err := c.do(ctx, c.config.Timeout, request, &l); err != nil {
		return Listing{}, err
	}
	return l, checkListing(l, prefix)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, key string, ifVersion int64, value []byte) (Object, error) {
	path, err := objectPath(key)
	if err != nil {
		return Object{}, err
	}
	if len(value) > MaxValueBytes {
		return Object{}, resultcode.New(resultcode.SettingsInvalid,
			"object %q has %d bytes; at most %d are stored", key, len(value), MaxValueBytes)
	}
	var o Object
	request := c.sling.New().Put(path).QueryStruct(conditionQuery{ifVersion}).BodyJSON(updateBody{value})
	if err := c.do(ctx, c.config.Timeout, request, &o); err != nil {
		return o, err
	}
	if err := checkObject(o, key); err != nil {
		return Object{}, err
	}
	if o.Version <= ifVersion {
		return Object{}, malformed("the version of %q did not rise above %d", key, ifVersion)
	}
	o.Value = value
	return o, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion int64) error {
	path, err := objectPath(key)
	if err != nil {
		return err
	}
	request := c.sling.New().Delete(path).QueryStruct(conditionQuery{ifVersion})
	return c.do(ctx, c.config.Timeout, request, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) (Events, error) {
	var e Events
	query := watchQuery{Prefix: prefix, After: after, WaitMs: c.config.PollTimeout.Milliseconds()}
	request := c.sling.New().Get("watch").QueryStruct(query)
	if err := c.do(ctx, c.config.Timeout+c.config.PollTimeout, request, &e); err != nil {
		return Events{}, err
	}
	return e, checkEvents(e, prefix, after)
}
