// Package clientconn limits what the clients of a port may take of a router's memory and descriptors.
//
// Its connections count the bytes of a request's header as they are read, end a header that is too long or takes too long,
// and end a connection that stays idle. The limits are read for each request, since the operators change them at run time.
// Connections that have sent nothing are bounded by number, in total and for each address; the oldest one is closed for a
// new one.
//
// A response that the client does not read at once is kept in memory, so that the backend server's response is read in
// time. It is charged to the memory account; if the account refuses more, this response is ended and no other. The client
// may take until its request's deadline to read it, and longer as long as it reads on. A connection is closed once the
// system has sent the rest.
package clientconn
