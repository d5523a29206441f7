package gateway

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gooseberrytide.example/gooseberrytide/internal/transport/gateway"
)

// logBufferLines is the capacity of the log buffer in lines. At about 400 bytes a line it holds 800 KB.
const logBufferLines = 2048

// logWriter writes lines from a bounded buffer in the background. A blocked reader of standard output does not block
// the callers: lines that do not fit into the buffer are dropped and counted.
type logWriter struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	// stop is closed by close. The lines' channel stays open, since goroutines may still log while the process ends.
	stop chan struct{}
	done chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logBufferLines), out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It does not block and returns no error.
func (w *logWriter) Write(line []byte) (int, error) {
	if w.stopped() {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// stopped reports whether close has been called.
func (w *logWriter) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

// Sync implements zapcore.WriteSyncer.
func (w *logWriter) Sync() error { return nil }

// run writes the lines in batches until the writer is stopped and the buffer is empty.
func (w *logWriter) run() {
	defer close(w.done)
	var batch []byte
	var lastDroppedCheck time.Time
	for {
		line, ok := w.next()
		if !ok {
			return
		}
		batch = append(batch[:0], line...)
		batch = w.appendPending(batch)
		if time.Since(lastDroppedCheck) >= sampleTick {
			lastDroppedCheck = time.Now()
			batch = w.appendDropped(batch)
		}
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(1) // the log is the only place to report it
		}
	}
}

// next returns the next line. It returns false if the writer is stopped and the buffer is empty.
func (w *logWriter) next() ([]byte, bool) {
	select {
	case line := <-w.lines:
		return line, true
	case <-w.stop:
	}
	select {
	case line := <-w.lines:
		return line, true
	default:
		return nil, false
	}
}

// appendDropped appends a line with the number of lines that were dropped since the last such line, if any.
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

// maxBatchBytes is the size of a batch from which no more lines are appended to it.
const maxBatchBytes = 32 << 10

// appendPending appends lines from the buffer, up to about maxBatchBytes.
func (w *logWriter) appendPending(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// close writes the buffered lines and stops the writer. Lines that are written later are lost. It must be called once.
func (w *logWriter) close() {
	close(w.stop)
	<-w.done
}

// gatewayLogger is the name of the gateway's logger.
const gatewayLogger = "gateway"

// unsampledLogger is the full name of the logger whose lines are all written.
const unsampledLogger = gatewayLogger + "." + gateway.UnframedLogger

// sampledCore samples the lines of all loggers but one.
type sampledCore struct {
	zapcore.Core
	all zapcore.Core
}

// With implements zapcore.Core.
func (c sampledCore) With(fields []zapcore.Field) zapcore.Core {
	return sampledCore{Core: c.Core.With(fields), all: c.all.With(fields)}
}

// Check implements zapcore.Core.
func (c sampledCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if entry.LoggerName == unsampledLogger {
		return c.all.Check(entry, checked)
	}
	return c.Core.Check(entry, checked)
}

// newLogger returns a logger that writes JSON lines, with sampling.
func newLogger(w *logWriter) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zap.InfoLevel)
	sampler := zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				w.dropped.Add(1)
			}
		}))
	return zap.New(sampledCore{Core: sampler, all: core})
}

// Sampling of log lines. Of the lines with the same level and message, the first sampleFirst in each sampleTick are
// written, and then every sampleThereafter-th. Dropped lines are counted and the count is logged.
const (
	sampleTick       = time.Second
	sampleFirst      = 80
	sampleThereafter = 20
)
