package builder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/parser"
	"github.com/google/uuid"
)

// Publish publishes the sections of a configuration document in order, through one host and with the root key.
// Each section must not exist yet.
func (cell *Cell) Publish(ctx context.Context, host, document string) error {
	sections, mistakes := parser.Split("document", document)
	if err := mistakes.Err(); err != nil {
		return err
	}
	for _, section := range sections {
		if _, err := cell.PublishSection(ctx, host, section.Name, section.Text, 0); err != nil {
			return err
		}
	}
	return nil
}

// PublishSection publishes one section and returns its new version. Base is the version that it replaces, 0 for a new
// section; the host refuses the change if another version is in force.
func (cell *Cell) PublishSection(ctx context.Context, host, name, text string, base int64) (int64, error) {
	body, err := json.Marshal(server.SectionChange{ID: uuid.NewString(), Text: text})
	if err != nil {
		return 0, fmt.Errorf("encode section: %w", err)
	}
	target := "http://" + cell.Hosts[host].Settings.HTTPAddress + "/v1/sections/" + strings.ReplaceAll(name, " ", "/")
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("build publish request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+cell.RootKey)
	request.Header.Set("If-Match", strconv.FormatInt(base, 10))
	client := cell.Client()
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("publish %s: %w", name, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, fmt.Errorf("publish %s: %w", name, err)
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("publish %s: status %d: %s", name, response.StatusCode, answer)
	}
	var published server.PublishAnswer
	if err := json.Unmarshal(answer, &published); err != nil {
		return 0, fmt.Errorf("publish %s: %w", name, err)
	}
	return published.Version, nil
}
