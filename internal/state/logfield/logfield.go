// Package logfield holds fields of log lines that all parts share.
package logfield

import "go.uber.org/zap"

// Error returns the field of an error without its stack, which would make the line many times as long. The field is left
// out when there is no error.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
