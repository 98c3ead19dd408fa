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

// newRequest returns the request of a body. max_tokens bounds the whole answer including resume_text, so a caller
// resumes a request by sending it again with resume_text added. It fails if resume_text is not a prefix of the answer.
func newRequest(body completionBody) (*request, error) {
	r := &request{id: body.RequestID, program: body.User, priority: body.Priority, notify: make(chan struct{}, 1)}
	contents := make([]string, len(body.Messages))
	for i, m := range body.Messages {
		contents[i] = m.Content
		r.promptHashes = appendWordHashes(r.promptHashes, m.Content)
	}
	r.messageTokens = len(r.promptHashes)
	r.answer, r.truncated = Answer(contents, body.MaxTokens)
	var err error
	if r.nextWord, err = resumePoint(r.answer, body.ResumeText); err != nil {
		return nil, err
	}
	r.promptHashes = appendWordHashes(r.promptHashes, body.ResumeText)
	return r, nil
}

// refuseIfUnavailable rejects and counts a request, and returns true, if the fault "leaving" is set or the engine is
// loading.
func (e *Engine) refuseIfUnavailable(w http.ResponseWriter) bool {
	leaving := e.faults.Get().Leaving
	e.mu.Lock()
	loading := e.orderState.Loading
	if leaving {
		e.counters.RequestsWhileLeaving++
	} else if loading {
		e.counters.RefusedWhileLoading++
	}
	e.mu.Unlock()
	switch {
	case leaving:
		control.WriteNotRun(w, http.StatusServiceUnavailable, "leaving")
	case loading:
		control.WriteNotRun(w, http.StatusServiceUnavailable, "loading")
	}
	return leaving || loading
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	if e.refuseIfUnavailable(w) {
		return
	}
	var body completionBody
	if !control.DecodeBody(w, r, &body) {
		return
	}
	if !body.Stream {
		control.WriteError(w, http.StatusBadRequest, "stream is false; only streamed completions are supported")
		return
	}
	req, err := newRequest(body)
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if t := r.Header.Get("traceparent"); t != "" {
		e.mu.Lock()
		e.counters.Traceparents[req.id] = t
		e.mu.Unlock()
	}
	e.enqueue(req)
	defer e.abortRequest(req) // no effect on a request that has ended
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	s := &stream{engine: e, request: req, body: body, w: w, r: r}
	s.needsSpace = body.ResumeText != "" && body.ResumeText[len(body.ResumeText)-1] != ' '
	s.run()
}

// stream writes the response of one request as server-sent events.
type stream struct {
	engine      *Engine
	request     *request
	body        completionBody
	w           http.ResponseWriter
	r           *http.Request
	sentWords   int
	needsSpace  bool // write a space before the next word
	writeFailed bool
}

func (s *stream) run() {
	s.flush()
	for {
		changed := s.engine.faults.Changed()
		words, finishReason := s.takeWords()
		for _, word := range words {
			if !s.applyFaults() {
				return
			}
			s.writeWord(word)
		}
		if !s.applyFaults() {
			return
		}
		if finishReason != "" {
			s.writeFinish(finishReason)
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

// takeWords returns the generated words that are not written yet, and the finish reason, empty while the request runs.
func (s *stream) takeWords() ([]string, string) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	words := s.request.unsentWords
	s.request.unsentWords = nil
	return words, s.request.finishReason
}

// applyFaults closes the connection (by a panic) or stalls the stream if a fault applies after the words written so
// far. It returns false if the caller has disconnected.
func (s *stream) applyFaults() bool {
	for {
		if s.takeBreak() {
			control.CloseConnection()
		}
		changed := s.engine.faults.Changed()
		f := s.engine.faults.Get()
		if f.StallAfterTokens == nil || s.sentWords < *f.StallAfterTokens {
			return !s.writeFailed
		}
		select {
		case <-changed:
		case <-s.r.Context().Done():
			return false
		}
	}
}

// takeBreak reports whether the fault break_after_tokens closes the connection now, and counts BreakCount down.
func (s *stream) takeBreak() bool {
	return s.engine.faults.Update(func(f *Faults) bool {
		if f.BreakAfterTokens == nil || s.sentWords < *f.BreakAfterTokens {
			return false
		}
		if f.BreakCount--; f.BreakCount <= 0 {
			f.BreakAfterTokens, f.BreakCount = nil, 0
		}
		return true
	})
}

func (s *stream) writeWord(word string) {
	if s.needsSpace {
		word = " " + word
	}
	s.needsSpace = true
	s.sentWords++
	s.writeChunk([]choice{{Delta: delta{Content: word}}}, nil)
}

func (s *stream) writeFinish(reason string) {
	s.writeChunk([]choice{{FinishReason: &reason}}, nil)
	if s.body.StreamOptions.IncludeUsage {
		s.writeChunk([]choice{}, s.usage())
	}
	s.writeEvent([]byte("[DONE]"))
}

// usage counts the words of the messages, without resume_text, as prompt tokens and the words that this request
// generated as completion tokens.
func (s *stream) usage() *usage {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	r := s.request
	result := &usage{PromptTokens: r.messageTokens, CompletionTokens: r.generatedTokens, TotalTokens: r.messageTokens + r.generatedTokens}
	result.PromptDetails.CachedTokens = min(r.cachedTokens, r.messageTokens)
	return result
}

func (s *stream) writeChunk(choices []choice, u *usage) {
	c := chunk{ID: s.body.RequestID, Object: "chat.completion.chunk", Model: s.body.Model, Choices: choices, Usage: u}
	b, err := json.Marshal(c)
	if err != nil {
		s.writeFailed = true
		return
	}
	s.writeEvent(b)
}

func (s *stream) writeEvent(b []byte) {
	if _, err := s.w.Write(slices.Concat([]byte("data: "), b, []byte("\n\n"))); err != nil {
		s.writeFailed = true
	}
	s.flush()
}

func (s *stream) flush() {
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		s.writeFailed = true
	}
}

// cancelRequest aborts all requests with the ID. Their streams end with finish_reason "abort".
func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if !control.DecodeBody(w, r, &body) {
		return
	}
	e.mu.Lock()
	active := slices.Concat(e.running, e.waiting)
	e.mu.Unlock()
	for _, req := range active {
		if req.id == body.RequestID {
			e.abortRequest(req)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
