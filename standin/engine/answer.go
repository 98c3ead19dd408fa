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

// Answer returns the complete answer to messages with these contents, one word per token, as defined in
// docs/external-protocols.md. A maxTokens of 0 is no limit. truncated reports whether maxTokens shortened the answer.
func Answer(contents []string, maxTokens int) (words []string, truncated bool) {
	hash := xxhash.Sum64String(strings.Join(contents, "\n"))
	n := minAnswerTokens + int(hash%(maxAnswerTokens-minAnswerTokens+1))
	if len(contents) > 0 {
		if match := tokensDirective.FindStringSubmatch(contents[len(contents)-1]); match != nil {
			if v, err := strconv.Atoi(match[1]); err == nil {
				n = v
			}
		}
	}
	if maxTokens > 0 && n > maxTokens {
		n, truncated = maxTokens, true
	}
	prefix := fmt.Sprintf("%016x", hash)[:8]
	words = make([]string, n)
	for i := range words {
		words[i] = prefix + "-" + strconv.Itoa(i)
	}
	return words, truncated
}

// resumePoint returns the number of words in text, which must be a prefix of answer that ends after a word, with or
// without the following space.
func resumePoint(answer []string, text string) (int, error) {
	n := len(strings.Fields(text))
	if n <= len(answer) && strings.TrimSuffix(text, " ") == strings.Join(answer[:n], " ") {
		return n, nil
	}
	return 0, fmt.Errorf("resume_text of %d words is not a prefix of the answer", n)
}

// appendWordHashes appends the hash of each word of text to out. The cache stores and compares hashes, 8 bytes per
// token.
func appendWordHashes(out []uint64, text string) []uint64 {
	for _, w := range strings.Fields(text) {
		out = append(out, xxhash.Sum64String(w))
	}
	return out
}
