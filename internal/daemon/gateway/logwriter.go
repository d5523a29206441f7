package gateway

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// logBuffer is the number of lines that wait for the writer. At about 400 bytes a line it holds 800 KB.
const logBuffer = 2048

// logWriter writes lines from a bounded buffer. A reader of standard output that is stuck holds nothing up: lines that
// do not fit are dropped and counted.
type logWriter struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logBuffer), out: out, done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *logWriter) Sync() error { return nil }

// run writes the lines, several at a time.
func (w *logWriter) run() {
	defer close(w.done)
	var batch []byte
	var counted time.Time
	for line := range w.lines {
		batch = append(batch[:0], line...)
		batch = w.gather(batch)
		if time.Since(counted) >= sampleTick {
			counted = time.Now()
			batch = w.appendDropped(batch)
		}
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(1) // there is nowhere else to report to
		}
	}
}

// appendDropped adds a line with the number of lines that were dropped since the last one.
func (w *logWriter) appendDropped(batch []byte) []byte {
	n := w.dropped.Swap(0)
	if n == 0 {
		return batch
	}
	batch = append(batch, `{"level":"warn","ts":`...)
	batch = strconv.AppendInt(batch, time.Now().UnixMilli(), 10)
	batch = append(batch, `,"logger":"log","msg":"lines dropped","count":`...)
	batch = strconv.AppendInt(batch, n, 10)
	return append(batch, "}\n"...)
}

// maxBatch bounds one write.
const maxBatch = 32 << 10

// gather appends the lines that wait.
func (w *logWriter) gather(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// close writes what waits and ends the writer.
func (w *logWriter) close() {
	close(w.lines)
	<-w.done
}

// newLogger returns a logger of JSON lines.
func newLogger(w *logWriter) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				w.dropped.Add(1)
			}
		})))
}

// Under load, each kind of line is cut to the first lines of a second and one in some after that. Dropped lines are
// counted and the count is written.
const (
	sampleTick       = time.Second
	sampleFirst      = 80
	sampleThereafter = 20
)
