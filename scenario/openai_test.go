package scenario_test

import (
	"context"
	"fmt"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rogpeppe/go-internal/testscript"
)

// cmdOpenAI asks for a completion through the OpenAI client library as it is,
// and prints text and error: openai vm whole|stream tokens. The client's error
// fails the script unless the command is negated.
func cmdOpenAI(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, false, args, 3, "openai vm whole|stream tokens=n")
	c := clusterOf(ts)
	v, err := c.vm(args[0])
	fail(ts, err)
	_, named := fields(args)
	tokens, err := number(named, "tokens", 8)
	fail(ts, err)
	client := openai.NewClient(option.WithBaseURL("http://"+v.entry+"/v1"), option.WithAPIKey("none"))
	params := openai.ChatCompletionNewParams{
		Model:     "assistant",
		MaxTokens: openai.Int(int64(tokens)),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which colour matches?")},
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	text, err := complete(ctx, &client, params, args[1] == "stream")
	fmt.Fprintf(ts.Stdout(), "%s\n", text)
	if err != nil {
		fmt.Fprintf(ts.Stdout(), "error: %s\n", mask(err.Error()))
	}
	if (err != nil) != neg {
		fail(ts, fmt.Errorf("the client's error: %v", err))
	}
}

func complete(ctx context.Context, client *openai.Client, params openai.ChatCompletionNewParams, stream bool) (string, error) {
	if !stream {
		answer, err := client.Chat.Completions.New(ctx, params)
		if err != nil {
			return "", err
		}
		return answer.Choices[0].Message.Content, nil
	}
	var text strings.Builder
	events := client.Chat.Completions.NewStreaming(ctx, params)
	defer events.Close()
	for events.Next() {
		for _, choice := range events.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), events.Err()
}
