//go:build tools

// Package tools keeps the libraries of packages that are still being written in go.mod.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/apex/log"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat/distuv"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
