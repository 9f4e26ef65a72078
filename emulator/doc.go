// Package emulator holds stand-ins for what surrounds an entry: the platform's
// log service, backend servers and callers. Each can be made to fail.
//
// They are for demonstrations, measurements and tests; nothing here runs in
// production.
package emulator
