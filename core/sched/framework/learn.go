package framework

// learnWeight is the weight of a new sample in a running mean once enough samples exist: about the last 64
// samples count.
const learnWeight = 1.0 / 64

// Mean is a running mean that follows slow changes.
type Mean struct {
	N     int
	Value float64
}

// Add takes in a sample.
func (m *Mean) Add(x float64) {
	m.N++
	weight := 1 / float64(m.N)
	if weight < learnWeight {
		weight = learnWeight
	}
	m.Value += weight * (x - m.Value)
}

// Or returns the mean, or def before the first sample.
func (m *Mean) Or(def float64) float64 {
	if m.N == 0 {
		return def
	}
	return m.Value
}

// Agent is what was learned of the programs of one agent.
type Agent struct {
	Name string
	// Prompt is the uncached growth of the prompt from one turn to the next, in tokens; First is the length of
	// the first prompt; Generated is the length of an answer.
	Prompt, First, Generated Mean
	// ServiceMS is the time from grant to finish.
	ServiceMS Mean
	Turns     Turns
}

// Tool is what was learned of the pauses for one tool.
type Tool struct {
	Name string
	// PauseMS is the length of the pause.
	PauseMS Mean
}

// maxTurns is the default bound on the turns of one program; longer programs count in the last place.
const maxTurns = 280

// Turns is the distribution of the number of turns of ended programs.
type Turns struct {
	Ended int
	Count [maxTurns + 1]int
}

// Add takes in the number of turns of a program that ended.
func (t *Turns) Add(turns int) {
	if turns > maxTurns {
		turns = maxTurns
	}
	if turns < 0 {
		turns = 0
	}
	t.Ended++
	t.Count[turns]++
}
