package enginemodel

// Line holds the weighted sums of a linear regression of y on x.
type Line struct{ N, X, Y, XX, XY, YY float64 }

func (l *Line) add(o Line, factor float64) {
	l.N = max(l.N+factor*o.N, 0)
	l.X = max(l.X+factor*o.X, 0)
	l.Y = max(l.Y+factor*o.Y, 0)
	l.XX = max(l.XX+factor*o.XX, 0)
	l.XY = max(l.XY+factor*o.XY, 0)
	l.YY = max(l.YY+factor*o.YY, 0)
}

func (l *Line) observe(x, y, weight float64) {
	l.add(Line{N: 1, X: x, Y: y, XX: x * x, XY: x * y, YY: y * y}, weight)
}

// mean returns the mean of y, or a value if there are no samples.
func (l Line) mean(otherwise float64) float64 {
	if l.N <= 0 {
		return otherwise
	}
	return l.Y / l.N
}

// fit returns the intercept and slope of a line, neither negative. Few samples, or samples of
// similar x, leave its shape at the prior's, scaled to the samples.
func (l Line) fit(intercept, slope float64) (float64, float64) {
	if l.N <= 0 || l.X <= 0 {
		return intercept, slope
	}
	scale := priorScale(l.Y, intercept*l.N+slope*l.X, l.N)
	intercept, slope = intercept*scale, slope*scale
	far := 2 * l.X / l.N
	l.observe(0, intercept, priorShape)
	l.observe(far, intercept+slope*far, priorShape)
	return l.solve()
}

// solve returns the intercept and slope of the line, neither negative.
func (l Line) solve() (intercept, slope float64) {
	slope = (l.N*l.XY - l.X*l.Y) / (l.N*l.XX - l.X*l.X)
	// A slope below this share of the proportional one is noise: each token and request costs time.
	slope = max(slope, minSlopeShare*l.Y/l.X)
	if at0 := (l.Y - slope*l.X) / l.N; at0 >= 0 {
		return at0, slope
	}
	return 0, l.XY / l.XX
}

// minSlopeShare is the least slope of a line relative to that of a line through the origin.
const minSlopeShare = 0.01

// priorScale returns by what the prior has to be multiplied to describe samples of a total that it
// expects to be another.
func priorScale(total, expected, n float64) float64 {
	typical := expected / n * priorWeight
	return (total + typical) / (expected + typical)
}

// Reading holds the weighted sums of a regression of the time to the first event on the tokens
// that certainly have to be read (X of Certain) and on those that may be cached.
type Reading struct {
	Certain Line
	// D is the sum of the doubtful tokens, DD that of their squares, XD and DY those of their
	// products with the certain tokens and the time.
	D, DD, XD, DY float64
}

func (r *Reading) add(o Reading, factor float64) {
	r.Certain.add(o.Certain, factor)
	r.D = max(r.D+factor*o.D, 0)
	r.DD = max(r.DD+factor*o.DD, 0)
	r.XD = max(r.XD+factor*o.XD, 0)
	r.DY = max(r.DY+factor*o.DY, 0)
}

func (r *Reading) observe(certain, doubtful, y, weight float64) {
	var o Reading
	o.Certain.observe(certain, y, 1)
	o.D, o.DD, o.XD, o.DY = doubtful, doubtful*doubtful, certain*doubtful, doubtful*y
	r.add(o, weight)
}

// merged returns the regression on the certain tokens plus a share of the doubtful ones.
func (r Reading) merged(share float64) Line {
	l := r.Certain
	l.X += share * r.D
	l.XX += 2*share*r.XD + share*share*r.DD
	l.XY += share * r.DY
	return l
}

// fit returns the intercept, the time of a token and the share of doubtful tokens that are read.
// What the samples leave uncertain stays near the prior, whose scale follows the samples.
func (r Reading) fit(intercept, perToken, share float64) (fixed, token, read float64) {
	n := r.Certain.N
	if n <= 0 || r.Certain.X <= 0 {
		return intercept, perToken, share
	}
	scale := priorScale(r.Certain.Y, intercept*n+perToken*(r.Certain.X+share*r.D), n)
	intercept, perToken = intercept*scale, perToken*scale
	far := 2 * r.Certain.X / n
	r.observe(0, 0, intercept, priorShape)
	r.observe(far, 0, intercept+perToken*far, priorShape)
	if far = 2 * r.D / n; far > 0 {
		r.observe(0, far, intercept+perToken*share*far, priorShape)
	}
	// These are the moments around the mean.
	c := r.Certain
	xx, xd, dd := c.XX-c.X*c.X/c.N, r.XD-c.X*r.D/c.N, r.DD-r.D*r.D/c.N
	xy, dy := c.XY-c.X*c.Y/c.N, r.DY-r.D*c.Y/c.N
	read, token = share, xy/xx
	if dd > 0 {
		// Requests with doubtful tokens go to other endpoints than those with known ones and may wait
		// longer there, so the time of a token follows from the certain tokens alone.
		xx, xy = xx-xd*xd/dd, xy-xd*dy/dd
		token = xy / xx
		if token > 0 {
			read = min(max((dy-xd*token)/dd/token, 0), 1)
		}
	}
	token = r.shrink(token, perToken, read, xx)
	if fixed = (c.Y - token*(c.X+read*r.D)) / c.N; fixed < 0 {
		l := r.merged(read)
		return 0, l.XY / l.XX, read
	}
	return fixed, token, read
}

// priorSpread is the relative error that the time of a token by the scaled prior may have.
const priorSpread = 2.0

// shrink weights an estimated time of a token with the expected one by their variances: under load
// the delays by other requests hide it. xx is the sum of the squares of the certain tokens around
// what the doubtful ones explain.
func (r Reading) shrink(token, expected, read, xx float64) float64 {
	c, l := r.Certain, r.merged(read)
	fixed := (c.Y - token*l.X) / c.N
	squares := c.YY - 2*fixed*c.Y - 2*token*l.XY + 2*fixed*token*l.X + fixed*fixed*c.N + token*token*l.XX
	variance := max(squares, 0) / c.N / xx
	spread := priorSpread * expected
	token = (token*spread*spread + expected*variance) / (spread*spread + variance)
	return max(token, minSlopeShare*c.Y/c.X)
}
