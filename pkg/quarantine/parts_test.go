package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/quarantine"
)

// crash returns the n-th crash, with the prompts of organisation 1 that were there.
func crash(n int, after time.Duration, prompts ...[]uint64) quarantine.Crash {
	return crashOf(1, n, after, prompts...)
}

func crashOf(organisation uint64, n int, after time.Duration, prompts ...[]uint64) quarantine.Crash {
	c := quarantine.Crash{Endpoint: fmt.Sprint("e", n), At: start.Add(after)}
	for _, prompt := range prompts {
		for depth, part := range prompt {
			c.Add([]quarantine.Candidate{{Part: part, Organisation: organisation, Depth: depth}})
		}
	}
	return c
}

func cold(c quarantine.Crash) quarantine.Crash {
	c.Cold = true
	return c
}

// quarantinedParts returns the parts that are quarantined for an organisation, of those up to 9.
func quarantinedParts(v *quarantine.Verdicts, organisation uint64) (parts []uint64) {
	for part := range uint64(10) {
		if _, ok := v.Quarantined(part, organisation); ok {
			parts = append(parts, part)
		}
	}
	return parts
}

// TestJudge guards against a part that is not quarantined after it crashed endpoints, and against the quarantine of sound parts.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		crashes []quarantine.Crash
		want    []uint64
	}{
		"two crashes":                    {[]quarantine.Crash{crash(1, 0, []uint64{1, 2}), crash(2, time.Second, []uint64{1, 2})}, nil},
		"the last of the shared parts":   {[]quarantine.Crash{crash(1, 0, []uint64{1, 2}), crash(2, time.Second, []uint64{1, 2}), crash(3, 2*time.Second, []uint64{1, 2})}, []uint64{2}},
		"the first, others after it":     {[]quarantine.Crash{crash(1, 0, []uint64{1, 2}), crash(2, time.Second, []uint64{1, 3}), crash(3, 2*time.Second, []uint64{1, 4})}, []uint64{1}},
		"a sound part beside it":         {[]quarantine.Crash{crash(1, 0, []uint64{1, 2}, []uint64{3}), crash(2, time.Second, []uint64{1, 2}, []uint64{3}), crash(3, 2*time.Second, []uint64{1, 2}, []uint64{3})}, []uint64{2}},
		"the first part in more crashes": {[]quarantine.Crash{crash(1, 0, []uint64{1, 2}), crash(2, time.Second, []uint64{1, 2}), crash(3, 2*time.Second, []uint64{1, 2}), crash(4, 3*time.Second, []uint64{1, 4})}, []uint64{2}},
		"last prompt not known":          {[]quarantine.Crash{crash(1, 0, []uint64{1, 2}), crash(2, time.Second, []uint64{1, 2}), crash(3, 2*time.Second, []uint64{1, 4})}, nil},
		"first prompt repeated":          {[]quarantine.Crash{crash(1, 0, []uint64{1, 2}), crash(2, time.Second, []uint64{1, 2}), crash(3, 2*time.Second, []uint64{1, 4}), crash(4, 3*time.Second, []uint64{1, 5})}, []uint64{1}},
		"several endpoints at once":      {[]quarantine.Crash{crash(1, 0, []uint64{1}), crash(2, 10*time.Millisecond, []uint64{1}), crash(3, 90*time.Millisecond, []uint64{1}), crash(4, 2*time.Second, []uint64{1})}, nil},
		"cold endpoints":                 {[]quarantine.Crash{cold(crash(1, 0, []uint64{1})), cold(crash(2, time.Second, []uint64{1})), crash(3, 2*time.Second, []uint64{1})}, nil},
		"many cold endpoints":            {[]quarantine.Crash{cold(crash(1, 0, []uint64{1})), cold(crash(2, time.Second, []uint64{1})), crash(3, 2*time.Second, []uint64{1}), crash(4, 3*time.Second, []uint64{1})}, []uint64{1}},
		"another organisation":           {[]quarantine.Crash{crashOf(2, 1, 0, []uint64{1}), crashOf(2, 2, time.Second, []uint64{1}), crashOf(2, 3, 2*time.Second, []uint64{1}), crash(4, 3*time.Second, []uint64{1})}, nil},
		"three organisations":            {[]quarantine.Crash{crashOf(2, 1, 0, []uint64{1}), crashOf(3, 2, time.Second, []uint64{1}), crashOf(4, 3, 2*time.Second, []uint64{1})}, []uint64{1}},
		"expired":                        {[]quarantine.Crash{crash(1, -40*time.Minute, []uint64{1}), crash(2, time.Second, []uint64{1}), crash(3, 2*time.Second, []uint64{1})}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := quarantine.Judge(start.Add(5*time.Second), c.crashes, quarantine.PartSettings{})
			is.Equal(quarantinedParts(v, 1), c.want)
		})
	}
}

// TestClearedParts guards against a part that stays suspect after an answer, and one that another organisation's answers clear.
func TestClearedParts(t *testing.T) {
	is := is.New(t)
	var crashes []quarantine.Crash
	for n := range 3 {
		c := crashOf(1, n, time.Duration(n)*time.Second, []uint64{1})
		o := crashOf(2, n, 0, []uint64{1})
		c.Add(o.Candidates)
		crashes = append(crashes, c)
	}
	now := start.Add(5 * time.Second)
	is.True(crashes[1].Clear(1, 2))
	is.True(!crashes[1].Clear(1, 2))
	v := quarantine.Judge(now, crashes, quarantine.PartSettings{})
	is.Equal(quarantinedParts(v, 1), []uint64{1})
	is.Equal(quarantinedParts(v, 2), nil)
	is.True(crashes[2].Clear(1, 1))
	v = quarantine.Judge(now, crashes, quarantine.PartSettings{})
	is.Equal(quarantinedParts(v, 1), nil)
	is.True(v.Suspect(1, 1, now, ""))
}

// TestQuarantineEnds guards against an end that differs from the verdict, and against several crashes each time a quarantine ends.
func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	var crashes []quarantine.Crash
	for n := range 4 {
		crashes = append(crashes, crash(n, time.Duration(n)*time.Minute, []uint64{1}))
	}
	v, ok := quarantine.Judge(start.Add(4*time.Minute), crashes, quarantine.PartSettings{}).Quarantined(1, 1)
	is.True(ok)
	is.Equal(v.Until, start.Add(18*time.Minute))
	for after, want := range map[time.Duration]bool{-time.Millisecond: true, 0: false} {
		verdicts := quarantine.Judge(v.Until.Add(after), crashes, quarantine.PartSettings{})
		_, ok = verdicts.Quarantined(1, 1)
		is.Equal(ok, want)
		is.Equal(verdicts.Suspect(1, 1, start.Add(18*time.Minute), ""), !want)
	}
	crashes = append(crashes, crash(5, 20*time.Minute, []uint64{1}))
	_, ok = quarantine.Judge(start.Add(21*time.Minute), crashes, quarantine.PartSettings{}).Quarantined(1, 1)
	is.True(ok)
}

// TestSuspectBesideCrash guards against a sound request that is not repeated since its part was at another crash at the same time.
func TestSuspectBesideCrash(t *testing.T) {
	is := is.New(t)
	v := quarantine.Judge(start, []quarantine.Crash{crash(1, 0, []uint64{1})}, quarantine.PartSettings{})
	is.True(!v.Suspect(1, 1, start.Add(-50*time.Millisecond), "e2"))
	is.True(v.Suspect(1, 1, start.Add(50*time.Millisecond), "e2"))
	is.True(!v.Suspect(1, 1, start.Add(50*time.Millisecond), "e1"))
}

// TestRandomCrashes guards against the quarantine of sound parts beside a part that crashes endpoints, over many seeds.
func TestRandomCrashes(t *testing.T) {
	const deadly, first = 1 << 40, 1 << 41
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var crashes []quarantine.Crash
		for n := range 5 {
			c := crash(n, time.Duration(n)*300*time.Millisecond, []uint64{first, deadly})
			for range random.IntN(8) {
				c.Add(crash(0, 0, []uint64{first, 10 + random.Uint64N(100)}).Candidates)
			}
			crashes = append(crashes, c)
		}
		list := quarantine.Judge(start.Add(time.Minute), crashes, quarantine.PartSettings{}).List()
		if len(list) != 1 || list[0].Part != deadly {
			t.Fatalf("seed %d: quarantined %+v", seed, list)
		}
	}
}

// BenchmarkJudge judges as many crashes as there are endpoints, each with 40 or, for 1000, 192 candidates of 10,000 parts.
func BenchmarkJudge(b *testing.B) {
	for endpoints, candidates := range map[int]int{9: 40, 44: 40, 128: 40, 1000: 192} {
		random := rand.New(rand.NewPCG(1, 0))
		var crashes []quarantine.Crash
		for n := range endpoints {
			c := crash(n, time.Duration(n)*200*time.Millisecond)
			for range candidates {
				c.Add([]quarantine.Candidate{{Part: random.Uint64N(10000), Organisation: random.Uint64N(320)}})
			}
			crashes = append(crashes, c)
		}
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				quarantine.Judge(start.Add(5*time.Minute), crashes, quarantine.PartSettings{})
			}
		})
	}
}
