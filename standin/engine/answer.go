package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Lengths of answers without a directive, in tokens.
const (
	minAnswerTokens = 5
	maxAnswerTokens = 40
)

var tokensDirective = regexp.MustCompile(`\[\[tokens=(\d+)\]\]`)

// Answer returns the whole answer to messages with these contents, as docs/external-protocols.md defines
// it. maxTokens 0 is no limit. It also reports whether maxTokens cut the answer.
func Answer(contents []string, maxTokens int) (words []string, cut bool) {
	h := xxhash.Sum64String(strings.Join(contents, "\n"))
	n := minAnswerTokens + int(h%(maxAnswerTokens-minAnswerTokens+1))
	if len(contents) > 0 {
		if m := tokensDirective.FindStringSubmatch(contents[len(contents)-1]); m != nil {
			if v, err := strconv.Atoi(m[1]); err == nil {
				n = v
			}
		}
	}
	if maxTokens > 0 && n > maxTokens {
		n, cut = maxTokens, true
	}
	prefix := fmt.Sprintf("%016x", h)[:8]
	words = make([]string, n)
	for i := range words {
		words[i] = prefix + "-" + strconv.Itoa(i)
	}
	return words, cut
}

// resumePoint returns the number of words of answer that text holds. text has to be the beginning of the
// answer, cut at a word, with or without the space after it.
func resumePoint(answer []string, text string) (int, error) {
	n := len(strings.Fields(text))
	if n <= len(answer) && strings.TrimSuffix(text, " ") == strings.Join(answer[:n], " ") {
		return n, nil
	}
	return 0, fmt.Errorf("resume_text of %d words is not the beginning of the answer", n)
}

// appendWordHashes appends the hash of each word of text to out. The cache compares hashes, 8 bytes a token.
func appendWordHashes(out []uint64, text string) []uint64 {
	for _, w := range strings.Fields(text) {
		out = append(out, xxhash.Sum64String(w))
	}
	return out
}
