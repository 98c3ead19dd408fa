// Package jsonparts splits a JSON document into its parts without decoding them. encoding/json rejects a whole document if one
// value in it is nested too deeply or does not fit its type; with the parts, only that one has to be given up.
package jsonparts

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Object returns the fields of the JSON object that body is.
func Object(body []byte) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	err := split(body, '{', '}', func(s *splitter) error {
		key, err := s.Token()
		if err != nil {
			return err
		}
		fields[key.(string)], err = s.value() // the decoder accepts only strings as keys
		return err
	})
	return fields, err
}

// Array returns the elements of the JSON array that body is.
func Array(body []byte) (elements []json.RawMessage, err error) {
	err = split(body, '[', ']', func(s *splitter) error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// splitter reads JSON by tokens, which unlike values may be nested to any depth.
type splitter struct {
	*json.Decoder
	body []byte
}

// split calls read for each member of the object or array that is the whole of body.
func split(body []byte, opening, closing json.Delim, read func(s *splitter) error) error {
	s := &splitter{Decoder: json.NewDecoder(bytes.NewReader(body)), body: body}
	s.UseNumber() // numbers may be too large for any type
	if token, err := s.Token(); err != nil || token != opening {
		return errors.Newf("%d bytes are no JSON that begins with %v: %v", len(body), opening, err)
	}
	for s.More() {
		if err := read(s); err != nil {
			return errors.Wrapf(err, "read JSON at byte %d", s.InputOffset())
		}
	}
	if token, err := s.Token(); err != nil || token != closing {
		return errors.Newf("JSON ends without %v: %v", closing, err)
	}
	if _, err := s.Token(); err != io.EOF {
		return errors.Newf("bytes after the JSON, from byte %d on: %v", s.InputOffset(), err)
	}
	return nil
}

// value reads the next value and returns its bytes.
func (s *splitter) value() (json.RawMessage, error) {
	start := s.InputOffset()
	for depth := 0; ; {
		token, err := s.Token()
		if err != nil {
			return nil, err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return bytes.TrimLeft(s.body[start:s.InputOffset()], " \t\r\n,:"), nil
		}
	}
}
