package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// headerTimeout bounds the time a client takes to send a request's headers.
const headerTimeout = 10 * time.Second

// serveOptions are the flags of all commands.
type serveOptions struct {
	Listen string        `long:"listen" env:"WASABIWORKS_STANDIN_LISTEN" default:"127.0.0.1:0" description:"address to listen on"`
	Grace  time.Duration `long:"grace" env:"WASABIWORKS_STANDIN_GRACE" default:"30s" description:"time for running requests to finish after SIGTERM"`
}

// server is the fake that the process runs.
type server struct {
	handler http.Handler
	// beginShutdown is called at SIGTERM or SIGINT, before serve waits for
	// running requests.
	beginShutdown func()
	// register, if not nil, runs while the server runs and returns after ctx
	// ends.
	register func(ctx context.Context, address string)
}

// serve runs s until SIGTERM or SIGINT and until running requests have
// finished or the grace period has passed.
func (o serveOptions) serve(log *zap.Logger, s server) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return fmt.Errorf("--listen %s: %w", o.Listen, err)
	}
	address := listener.Addr().String()
	log.Info("listening", zap.String("address", address))
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	var g errgroup.Group
	g.Go(func() error { return h.Serve(listener) })
	registerCtx, cancelRegister := context.WithCancel(context.Background())
	defer cancelRegister()
	if s.register != nil {
		g.Go(func() error { s.register(registerCtx, address); return nil })
	}
	<-ctx.Done()
	log.Info("stopping")
	s.beginShutdown()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), o.Grace)
	defer cancel()
	err = h.Shutdown(shutdownCtx)
	if err != nil {
		err = fmt.Errorf("requests were still running after the grace period: %w", errors.Join(err, h.Close()))
	}
	cancelRegister()
	if serveErr := g.Wait(); !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	log.Info("stopped")
	return err
}

func newLogger(fake string) (*zap.Logger, error) {
	log, err := zap.NewProduction()
	if err != nil {
		return nil, fmt.Errorf("create logger: %w", err)
	}
	return log.With(zap.String("fake", fake)), nil
}
