package engine

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/hyssopreel/hyssopreel/standin/internal/control"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionBody struct {
	Model         string    `json:"model"`
	Messages      []message `json:"messages"`
	MaxTokens     int       `json:"max_tokens"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	User       string `json:"user"`
	Priority   int    `json:"priority"`
	RequestID  string `json:"request_id"`
	ResumeText string `json:"resume_text"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	PromptDetails    struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// newRequest builds the request of a body. max_tokens bounds the whole answer, resume_text included, so
// that a resumed request is the first one with resume_text added.
func newRequest(body completionBody) (*request, error) {
	r := &request{id: body.RequestID, program: body.User, priority: body.Priority, notify: make(chan struct{}, 1)}
	contents := make([]string, len(body.Messages))
	for i, m := range body.Messages {
		contents[i] = m.Content
		r.prompt = hashWords(r.prompt, m.Content)
	}
	r.promptWords = len(r.prompt)
	r.answer, r.cut = Answer(contents, body.MaxTokens)
	var err error
	if r.next, err = resumePoint(r.answer, body.ResumeText); err != nil {
		return nil, err
	}
	r.prompt = hashWords(r.prompt, body.ResumeText)
	return r, nil
}

// refused answers a request that may not run now, and counts it.
func (e *Engine) refused(w http.ResponseWriter) bool {
	leaving := e.faults.Get().Leaving
	e.mu.Lock()
	loading := e.orders.Loading
	if leaving {
		e.counters.LeavingAccepted++
	} else if loading {
		e.counters.LoadingRefused++
	}
	e.mu.Unlock()
	switch {
	case leaving:
		control.NotRun(w, http.StatusServiceUnavailable, "leaving")
	case loading:
		control.NotRun(w, http.StatusServiceUnavailable, "loading")
	}
	return leaving || loading
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	if e.refused(w) {
		return
	}
	var body completionBody
	if !control.Decode(w, r, &body) {
		return
	}
	if !body.Stream {
		control.Error(w, http.StatusBadRequest, "only stream: true is supported")
		return
	}
	req, err := newRequest(body)
	if err != nil {
		control.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	if t := r.Header.Get("traceparent"); t != "" {
		e.mu.Lock()
		e.counters.Traces[req.id] = t
		e.mu.Unlock()
	}
	e.enqueue(req)
	defer e.abort(req) // without effect on a request that has ended
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	s := &stream{engine: e, request: req, body: body, w: w, r: r}
	s.space = body.ResumeText != "" && body.ResumeText[len(body.ResumeText)-1] != ' '
	s.run()
}

// stream writes the answer of one request as server-sent events.
type stream struct {
	engine  *Engine
	request *request
	body    completionBody
	w       http.ResponseWriter
	r       *http.Request
	sent    int
	space   bool // the next word needs a space before it
	failed  bool
}

func (s *stream) run() {
	s.flush()
	for {
		changed := s.engine.faults.Changed()
		words, finish := s.take()
		for _, word := range words {
			if !s.applyFaults() {
				return
			}
			s.word(word)
		}
		if !s.applyFaults() {
			return
		}
		if finish != "" {
			s.finish(finish)
			return
		}
		select {
		case <-s.request.notify:
		case <-changed:
		case <-s.r.Context().Done():
			return
		}
	}
}

func (s *stream) take() ([]string, string) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	words := s.request.out
	s.request.out = nil
	return words, s.request.finish
}

// applyFaults breaks or stalls the stream at this point. It returns false if the caller has gone.
func (s *stream) applyFaults() bool {
	for {
		if s.takeBreak() {
			control.CloseConnection()
		}
		changed := s.engine.faults.Changed()
		f := s.engine.faults.Get()
		if f.StallAfterTokens == nil || s.sent < *f.StallAfterTokens {
			return !s.failed
		}
		select {
		case <-changed:
		case <-s.r.Context().Done():
			return false
		}
	}
}

func (s *stream) takeBreak() bool {
	return s.engine.faults.Update(func(f *Faults) bool {
		if f.BreakAfterTokens == nil || s.sent < *f.BreakAfterTokens {
			return false
		}
		if f.BreakTimes--; f.BreakTimes <= 0 {
			f.BreakAfterTokens, f.BreakTimes = nil, 0
		}
		return true
	})
}

func (s *stream) word(word string) {
	if s.space {
		word = " " + word
	}
	s.space = true
	s.sent++
	s.chunk([]choice{{Delta: delta{Content: word}}}, nil)
}

func (s *stream) finish(reason string) {
	s.chunk([]choice{{FinishReason: &reason}}, nil)
	if s.body.StreamOptions.IncludeUsage {
		s.chunk([]choice{}, s.usage())
	}
	s.data([]byte("[DONE]"))
}

// usage counts the words of the messages as prompt, and the words that this request generated.
func (s *stream) usage() *usage {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	r := s.request
	u := &usage{PromptTokens: r.promptWords, CompletionTokens: r.generated, TotalTokens: r.promptWords + r.generated}
	u.PromptDetails.CachedTokens = min(r.cached, r.promptWords)
	return u
}

func (s *stream) chunk(choices []choice, u *usage) {
	c := chunk{ID: s.body.RequestID, Object: "chat.completion.chunk", Model: s.body.Model, Choices: choices, Usage: u}
	b, err := json.Marshal(c)
	if err != nil {
		s.failed = true
		return
	}
	s.data(b)
}

func (s *stream) data(b []byte) {
	if _, err := s.w.Write(slices.Concat([]byte("data: "), b, []byte("\n\n"))); err != nil {
		s.failed = true
	}
	s.flush()
}

func (s *stream) flush() {
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		s.failed = true
	}
}

// cancelRequest aborts all requests with the ID. Their streams end with finish_reason "abort".
func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if !control.Decode(w, r, &body) {
		return
	}
	e.mu.Lock()
	all := slices.Concat(e.running, e.waiting)
	e.mu.Unlock()
	for _, req := range all {
		if req.id == body.RequestID {
			e.abort(req)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
