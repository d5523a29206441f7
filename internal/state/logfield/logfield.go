// Package logfield builds log fields that all packages share.
package logfield

import "go.uber.org/zap"

// Error returns a field with the text of an error but without its stack trace, which would make the line many times as
// long. A nil error gives no field.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
