package laburnumrouter

import (
	"time"

	"laburnumlever"
)

// Server is a backend server as this VM's router knows it.
type Server struct {
	announcement laburnumlever.Announcement
	inFlight     int
}

func newServer() *Server { return &Server{} }

// ID is the backend server's name.
func (s *Server) ID() laburnumlever.BackendID { return s.announcement.Backend }

// Announcement is the newest that the backend server gave.
func (s *Server) Announcement() laburnumlever.Announcement { return s.announcement }

// InFlight is how many requests of this VM it works on.
func (s *Server) InFlight() int { return s.inFlight }

// Begin counts a request as sent to the server.
func (s *Server) Begin() { s.inFlight++ }

// End counts it as over.
func (s *Server) End() { s.inFlight-- }

func (s *Server) update(b *laburnumlever.Backend, _ time.Time) { s.announcement = b.Announcement }

func (s *Server) load(time.Time) float64 {
	slots := max(1, s.announcement.Slots)
	return float64(s.inFlight+1) / float64(slots)
}
