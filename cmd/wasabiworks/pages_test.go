package main

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"wasabiworks.example/wasabiworks/internal/bench/metastore"
	"wasabiworks.example/wasabiworks/platform"
)

const pages = "../../docs/operate/"

// block is a fenced block of a page; info is the text after the fence.
type block struct{ page, info, text string }

var fence = regexp.MustCompile("(?ms)^```([^\n]*)\n(.*?)^```$")

func readPage(t *testing.T, path string) (text string, blocks []block) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range fence.FindAllStringSubmatch(string(data), -1) {
		blocks = append(blocks, block{filepath.Base(path), m[1], m[2]})
	}
	return string(data), blocks
}

var (
	word = regexp.MustCompile(`"[^"]*"|\S+`)
	// inline finds commands within the text of a page.
	inline = regexp.MustCompile("`(wasabiworks [^`]*)`")
)

// split returns the words of a command line without its redirections.
func split(line string) (args []string, in, out string) {
	words := word.FindAllString(line, -1)
	for i := 0; i < len(words); i++ {
		switch w := strings.Trim(words[i], `"`); {
		case w == "<" && i+1 < len(words):
			i++
			in = words[i]
		case w == ">" && i+1 < len(words):
			i++
			out = words[i]
		default:
			args = append(args, w)
		}
	}
	return args, in, out
}

// Guards against pages with commands or flags that the program does not have.
func TestPagesParse(t *testing.T) {
	t.Setenv("WASABIWORKS_PLATFORM", "127.0.0.1:9000")
	t.Setenv("WASABIWORKS_STORE", "127.0.0.1:9001")
	names, err := filepath.Glob(pages + "*.md")
	if err != nil || len(names) < 4 {
		t.Fatalf("Glob = %q, %v, want the pages", names, err)
	}
	commands := 0
	for _, name := range names {
		text, blocks := readPage(t, name)
		var lines []string
		for _, m := range inline.FindAllStringSubmatch(fence.ReplaceAllString(text, ""), -1) {
			lines = append(lines, m[1])
		}
		for _, b := range blocks {
			if b.info == "sh" {
				lines = append(lines, strings.Split(b.text, "\n")...)
			}
		}
		for _, line := range lines {
			args, _, _ := split(line)
			if len(args) == 0 || args[0] != "wasabiworks" {
				continue
			}
			commands++
			if _, err := newParser(&app{}, false).ParseArgs(args[1:]); err != nil {
				t.Errorf("%s: %q: %v", filepath.Base(name), line, err)
			}
		}
	}
	if commands < 10 {
		t.Errorf("the pages have %d commands, want at least 10", commands)
	}
}

// Guards against pages whose examples do not work in the order in which an
// operator follows them.
func TestPagesRun(t *testing.T) {
	var blocks []block
	for _, name := range []string{"catalogue.md", "moving-a-version.md", "reading-the-burn-report.md"} {
		_, bs := readPage(t, pages+name)
		blocks = append(blocks, bs...)
	}
	s := newShell(t)
	store := metastore.New()
	store.Put(platform.ConfigKey, []byte(`{"version":1,"routes":[{"name":"draft","host":"h","path_prefix":"/d/","type":"streaming","service":"s"}]}`))
	server := httptest.NewServer(store)
	defer server.Close()
	t.Setenv("WASABIWORKS_STORE", strings.TrimPrefix(server.URL, "http://"))
	s.write("token.txt", "example-token-0001\n")
	for _, b := range blocks {
		if name, ok := strings.CutPrefix(b.info, "yaml "); ok {
			s.write(name, b.text)
			continue
		}
		for _, line := range strings.Split(strings.TrimSpace(b.text), "\n") {
			s.line(b.page, line)
		}
	}
	if out := s.must("", "moves"); !strings.Contains(out, "stetec-ai from v1 to v2") {
		t.Errorf("after the pages, moves prints %q, want the move", out)
	}
}

// line runs a command line of a page.
func (s *shell) line(page, line string) {
	s.t.Helper()
	args, in, out := split(line)
	var input []byte
	if in != "" {
		var err error
		if input, err = os.ReadFile(in); err != nil {
			s.t.Fatal(err)
		}
	}
	status, text, errs := s.run(string(input), args[1:]...)
	if status != 0 {
		s.t.Fatalf("%s: %q: exit status %d, stderr %q", page, line, status, errs)
	}
	if out != "" {
		s.write(out, text)
	}
}
