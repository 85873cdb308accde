package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/internal/cli"
)

// client returns a client of the operators' API at the server in the options.
func (o *options) client() martenportv1connect.OperatorServiceClient {
	return martenportv1connect.NewOperatorServiceClient(http.DefaultClient, o.Server, connect.WithInterceptors(o.authorize()))
}

func (o *options) authorize() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if o.Credential != "" {
				req.Header().Set("Authorization", "Bearer "+o.Credential)
			}
			return next(ctx, req)
		}
	}
}

// context returns a context for one call, with the timeout in the options.
func (o *options) context() (context.Context, context.CancelFunc, error) {
	timeout, err := time.ParseDuration(o.Timeout)
	if err != nil || timeout <= 0 {
		return nil, nil, cli.Usage(errors.Newf("--timeout: %q is not a duration above 0s, write it as 10s", o.Timeout))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	return ctx, cancel, nil
}

// call makes one call. If the fleet refuses it, the returned error has the exit code for that.
func call[Req, Res any](o *options, method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), req *Req) (*Res, error) {
	ctx, cancel, err := o.context()
	if err != nil {
		return nil, err
	}
	defer cancel()
	resp, err := method(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, refusalError(err)
	}
	return resp.Msg, nil
}

func refusalError(err error) error {
	var protocol *connect.Error
	if !errors.As(err, &protocol) {
		return err
	}
	for _, d := range protocol.Details() {
		if value, valueErr := d.Value(); valueErr == nil {
			if f, ok := value.(*martenportv1.Failure); ok {
				return &cli.Exit{Code: cli.ExitRefused, Err: errors.Newf("refused: %s (verdict=%s): %s", f.Reason, f.Verdict, f.Detail)}
			}
		}
	}
	return err
}

// printJSON prints a message for scripts.
func printJSON(m proto.Message) error {
	encoded, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	// protojson deliberately varies its whitespace; encoding/json gives scripts a stable output.
	var value any
	if err := json.Unmarshal(encoded, &value); err != nil {
		return err
	}
	out, err := json.MarshalIndent(value, "", "  ")
	fmt.Println(string(out))
	return err
}

func readFile(path string) ([]byte, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, cli.Usage(err)
	}
	return source, nil
}
