# A planned stop of an entry VM drops no request, although callers still use its address.
fleet control=3 entry=3 domains=3 ttl=1s
service forecast upstreams=4 floor=6 slots=6 latency=300
customer soum rate=200 burst=100
route ages prefix=/ages service=forecast
ready /ages
load early customer=soum method=GET path=/ages rate=50 for=2s via=entry-1 resend=no
wait 1s
stop entry-1
expect early lost=0 refused=0 unanswered=0
ended entry-1
