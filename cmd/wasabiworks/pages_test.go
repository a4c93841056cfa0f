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

const pagesDir = "../../docs/operate/"

// block is a fenced code block of a documentation page; info is the info string
// after the opening fence.
type block struct{ page, info, text string }

var fencedBlock = regexp.MustCompile("(?ms)^```([^\n]*)\n(.*?)^```$")

func readPage(t *testing.T, path string) (text string, blocks []block) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range fencedBlock.FindAllStringSubmatch(string(data), -1) {
		blocks = append(blocks, block{filepath.Base(path), m[1], m[2]})
	}
	return string(data), blocks
}

var (
	wordPattern = regexp.MustCompile(`"[^"]*"|\S+`)
	// inlineCommand matches commands in the running text of a page.
	inlineCommand = regexp.MustCompile("`(wasabiworks [^`]*)`")
)

// splitCommand returns the words of a command line, and the files to which its
// standard input and output are redirected.
func splitCommand(line string) (args []string, in, out string) {
	words := wordPattern.FindAllString(line, -1)
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

// Guards against documented commands or flags that the program does not have.
func TestDocumentedCommandsParse(t *testing.T) {
	t.Setenv("WASABIWORKS_PLATFORM", "127.0.0.1:9000")
	t.Setenv("WASABIWORKS_STORE", "127.0.0.1:9001")
	names, err := filepath.Glob(pagesDir + "*.md")
	if err != nil || len(names) < 4 {
		t.Fatalf("Glob = %q, %v, want the pages", names, err)
	}
	commands := 0
	for _, name := range names {
		text, blocks := readPage(t, name)
		var lines []string
		for _, m := range inlineCommand.FindAllStringSubmatch(fencedBlock.ReplaceAllString(text, ""), -1) {
			lines = append(lines, m[1])
		}
		for _, b := range blocks {
			if b.info == "sh" {
				lines = append(lines, strings.Split(b.text, "\n")...)
			}
		}
		for _, line := range lines {
			args, _, _ := splitCommand(line)
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

// Guards against documented examples that do not work in the order in which an
// operator follows them.
func TestDocumentedExamplesRun(t *testing.T) {
	var blocks []block
	for _, name := range []string{"catalogue.md", "moving-a-version.md", "reading-the-burn-report.md"} {
		_, bs := readPage(t, pagesDir+name)
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
			s.runLine(b.page, line)
		}
	}
	if out := s.mustRun("", "moves"); !strings.Contains(out, "stetec-ai from v1 to v2") {
		t.Errorf("after the pages, moves prints %q, want the move", out)
	}
}

// runLine runs a command line of a page, with its redirections.
func (s *shell) runLine(page, line string) {
	s.t.Helper()
	args, in, out := splitCommand(line)
	var input []byte
	if in != "" {
		var err error
		if input, err = os.ReadFile(in); err != nil {
			s.t.Fatal(err)
		}
	}
	status, text, stderr := s.run(string(input), args[1:]...)
	if status != 0 {
		s.t.Fatalf("%s: %q: exit status %d, stderr %q", page, line, status, stderr)
	}
	if out != "" {
		s.write(out, text)
	}
}
