//go:build depsonly

package depsonly

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/transport/grpc"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/joomcode/errorx"
	_ "github.com/matryer/is"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/sebdah/goldie/v2"
	_ "go.uber.org/zap"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/grpc"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
